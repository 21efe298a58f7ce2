import type { ConfigurationDocument } from "@ibislanding/resources";

/** The stored configuration with the version of its key, 0 when nothing is stored. */
export interface StoredConfiguration {
    readonly document: ConfigurationDocument;
    readonly storeVersion: number;
}
