import type { PeerAddress } from "../peerAddress";

/** A running gRPC listener; disposing of it finishes running calls within a bounded time. */
export interface PeerServer extends AsyncDisposable {
    /** Address with the port that was bound. */
    readonly address: PeerAddress;
}
