import type { Failure } from "@ibislanding/core";
import type { PeerAddress, ProbeRequest, ProbeResponse, SyncRequest, SyncResponse } from "@ibislanding/protocol";
import type { Result } from "ts-results";

/** Port for calls to the membership services of other processes. */
export interface MembershipTransport {
    readonly probe: (
        peer: PeerAddress,
        request: ProbeRequest,
        timeoutMs: number,
    ) => Promise<Result<ProbeResponse, Failure>>;
    readonly sync: (
        peer: PeerAddress,
        request: SyncRequest,
        timeoutMs: number,
    ) => Promise<Result<SyncResponse, Failure>>;
}
