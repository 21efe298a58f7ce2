import type { ConfigurationDocument } from "@ibislanding/resources";

/** The configuration as it was read. */
export interface ConfigurationSnapshot {
    readonly document: ConfigurationDocument;
    /** Whether the key-value service could not be read, so that a later revision may exist. */
    readonly stale: boolean;
}
