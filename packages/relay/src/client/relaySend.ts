import type { RelayPeer } from "../decisions/relayPeer";
import type { RelayHead } from "../messages/relayHead";

/** A request to pass on to a peer. */
export interface RelaySend {
    readonly method: string;
    /** Path with the query. */
    readonly target: string;
    /** Headers of the caller. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly head: Omit<RelayHead, "sender" | "remainingMs" | "bodyBytes">;
    /** Monotonic time of the deadline. */
    readonly dueAtMs: number;
    readonly requestId: string | undefined;
    /** The peers that may take the request. */
    readonly peers: readonly RelayPeer[];
    /** Aborts at the deadline or when the caller disconnects. */
    readonly signal: AbortSignal;
}
