import type { ConfigurationDocument } from "@ibislanding/resources";
import type { DocumentSource } from "./documentSource";

/** Holds the newest document of a process. */
export interface ObservableDocument {
    readonly current: () => ConfigurationDocument | undefined;
    /** Takes a document if it is newer; tells whether it was. */
    readonly advance: (document: ConfigurationDocument, source: DocumentSource) => boolean;
    readonly subscribe: (listener: (document: ConfigurationDocument) => void) => () => void;
    readonly advancedAtMs: () => number | undefined;
    /** Number of advances by source. */
    readonly advancedBy: () => Readonly<Record<string, number>>;
}
