import type { PeerCredentials } from "../peerCredentials";

/** How channels to other processes are made. */
export interface PeerClientsOptions {
    /** Without credentials the connections are unencrypted. */
    readonly credentials?: PeerCredentials;
    /** Number of channels kept open; the least recently used is closed first. */
    readonly maximumChannels?: number;
}
