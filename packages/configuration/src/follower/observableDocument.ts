import type { ConfigurationDocument } from "@ibislanding/resources";
import type { DocumentSource } from "./documentSource";

/** Newest document known to a process, with change notification. */
export interface ObservableDocument {
    readonly current: () => ConfigurationDocument | undefined;
    /** Replaces the document if the offered one is newer; returns whether it did. */
    readonly advance: (document: ConfigurationDocument, source: DocumentSource) => boolean;
    readonly subscribe: (listener: (document: ConfigurationDocument) => void) => () => void;
    readonly advancedAtMs: () => number | undefined;
    /** Number of times that the document was replaced, by source of the new document. */
    readonly advancedBy: () => Readonly<Record<string, number>>;
}
