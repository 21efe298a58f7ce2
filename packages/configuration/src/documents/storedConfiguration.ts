import type { ConfigurationDocument } from "@ibislanding/resources";

/** Configuration document with the store version of its key; version 0 when nothing is stored. */
export interface StoredConfiguration {
    readonly document: ConfigurationDocument;
    readonly storeVersion: number;
}
