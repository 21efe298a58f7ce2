import type { Revision } from "@ibislanding/core";
import type { ConfigurationChange } from "./configurationChange";
import type { Resource } from "./resource";

/** The whole declared configuration at one revision. */
export interface ConfigurationDocument {
    readonly revision: Revision;
    readonly resources: readonly Resource[];
    /** Most recent changes, oldest first. */
    readonly recentChanges: readonly ConfigurationChange[];
}
