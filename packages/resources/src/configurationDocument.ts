import type { Revision } from "@ibislanding/core";
import type { ConfigurationChange } from "./configurationChange";
import type { Resource } from "./resource";

/** The complete declared configuration at one revision. */
export interface ConfigurationDocument {
    readonly revision: Revision;
    readonly resources: readonly Resource[];
    /** The most recent changes, oldest first; older ones are dropped from the document. */
    readonly recentChanges: readonly ConfigurationChange[];
}
