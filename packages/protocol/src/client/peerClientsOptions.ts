import type { PeerCredentials } from "../peerCredentials";

/** Credentials and size of a channel pool. */
export interface PeerClientsOptions {
    /** Mutual TLS credentials; without them connections are unencrypted. */
    readonly credentials?: PeerCredentials;
    /** Maximum number of open channels; the least recently used one is closed first. */
    readonly maximumChannels?: number;
}
