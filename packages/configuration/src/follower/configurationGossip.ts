import type { ConfigurationDocument } from "@ibislanding/resources";

/** Exchange of documents with other followers. */
export interface ConfigurationGossip {
    /**
     * Forwards a document to a few random peers, and to others when none confirms it; resolves with the number that
     * did.
     */
    readonly forward: (document: ConfigurationDocument) => Promise<number>;
    /** Compares revisions with random peers until the signal aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}
