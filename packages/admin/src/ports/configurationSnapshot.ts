import type { ConfigurationDocument } from "@ibislanding/resources";

/** A configuration document, with whether it may be outdated. */
export interface ConfigurationSnapshot {
    readonly document: ConfigurationDocument;
    /** Whether the latest revision could not be read from the key-value service, so that a later one may exist. */
    readonly stale: boolean;
}
