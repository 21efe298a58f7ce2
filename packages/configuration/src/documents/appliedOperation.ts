import type { ConfigurationChange, ConfigurationDocument } from "@ibislanding/resources";

/** Result of an operation: the document after it and the record of what it changed. */
export interface AppliedOperation {
    readonly document: ConfigurationDocument;
    readonly change: ConfigurationChange;
}
