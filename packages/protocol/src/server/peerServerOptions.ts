import type { PeerCredentials } from "../peerCredentials";
import type { PeerService } from "./peerService";

/** Address, credentials and services of a peer server. */
export interface PeerServerOptions {
    /** `ip:port`; port 0 binds any free port. */
    readonly address: string;
    /** Mutual TLS credentials; without them the listener accepts unencrypted connections. */
    readonly credentials?: PeerCredentials;
    /** Open connections. */
    readonly maximumConnections?: number;
    /** Memory that messages of all connections may hold before they are complete; beyond it, connections that hold most are closed. */
    readonly maximumMessageMemoryBytes?: number;
    readonly services: readonly PeerService[];
    /** Time for running calls to complete at shutdown; after it they are cancelled. */
    readonly shutdownTimeoutMs?: number;
}
