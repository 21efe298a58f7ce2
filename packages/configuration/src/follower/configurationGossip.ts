import type { ConfigurationDocument } from "@ibislanding/resources";

/** Propagates documents between followers: forwarding of new documents, and periodic anti-entropy. */
export interface ConfigurationGossip {
    /**
     * Forwards a document to a few random peers, and to further samples while none confirms it. Resolves with the
     * number of peers that confirmed it.
     */
    readonly forward: (document: ConfigurationDocument) => Promise<number>;
    /** Compares revisions with random peers (anti-entropy) until the signal aborts, and transfers newer documents. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}
