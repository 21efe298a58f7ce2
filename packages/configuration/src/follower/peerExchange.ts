import type { ConfigurationDocument } from "@ibislanding/resources";

/** Exchange of documents with other followers. */
export interface PeerExchange {
    /** Forwards a document to a few random peers; resolves with the number that confirmed it. */
    readonly forward: (document: ConfigurationDocument) => Promise<number>;
    /** Compares revisions with random peers until the signal aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}
