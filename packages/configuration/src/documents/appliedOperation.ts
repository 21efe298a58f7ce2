import type { ConfigurationChange, ConfigurationDocument } from "@ibislanding/resources";

/** Result of an operation: the resulting document and the record of the change. */
export interface AppliedOperation {
    readonly document: ConfigurationDocument;
    readonly change: ConfigurationChange;
}
