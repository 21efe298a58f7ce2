import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { PeerAddress } from "../peerAddress";
import type { PeerMethod } from "./peerMethod";

/** Pool of gRPC channels to other processes, one per address. */
export interface PeerClients extends AsyncDisposable {
    /**
     * Calls a method; every failure has the code `peer_unavailable`. A channel is closed after a call on it timed out,
     * as the connection may be dead without having been reset; the next call opens a new one.
     */
    readonly call: <Request, Response>(
        address: PeerAddress,
        method: PeerMethod<Request, Response>,
        request: Request,
        timeoutMs: number,
    ) => Promise<Result<Response, Failure>>;
    readonly channelCount: () => number;
}
