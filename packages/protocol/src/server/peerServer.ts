import type { PeerAddress } from "../peerAddress";

/** A running gRPC listener. Disposal lets running calls complete within a bounded time, then cancels them. */
export interface PeerServer extends AsyncDisposable {
    /** Address with the port that was bound. */
    readonly address: PeerAddress;
}
