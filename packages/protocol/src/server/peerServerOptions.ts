import type { PeerCredentials } from "../peerCredentials";
import type { PeerService } from "./peerService";

/** What a peer server listens on and serves. */
export interface PeerServerOptions {
    /** `ip:port`; port 0 binds any free port. */
    readonly address: string;
    /** Without credentials the listener takes unencrypted connections. */
    readonly credentials?: PeerCredentials;
    readonly services: readonly PeerService[];
    /** Time that running calls get to finish at shutdown. */
    readonly shutdownTimeoutMs?: number;
}
