import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { PeerAddress } from "../peerAddress";
import type { PeerMethod } from "./peerMethod";

/** Channels to other processes, one for each address. */
export interface PeerClients extends AsyncDisposable {
    /**
     * Calls a method; fails with `peer_unavailable`. A channel on which a call timed out is dropped, as its
     * connection may have gone silent; the next call connects anew.
     */
    readonly call: <Request, Response>(
        address: PeerAddress,
        method: PeerMethod<Request, Response>,
        request: Request,
        timeoutMs: number,
    ) => Promise<Result<Response, Failure>>;
    readonly channelCount: () => number;
}
