import type { Failure, UpstreamId } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { MachineOffer } from "./machineOffer";
import type { ReclaimNotice } from "./reclaimNotice";
import type { StartHostRequest } from "./startHostRequest";

/** Port to the platform's cloud API. */
export interface CloudApi {
    readonly listOffers: () => Promise<Result<readonly MachineOffer[], Failure>>;
    /** Starts an upstream host; fails with `platform_refused` when the platform has no capacity. */
    readonly startHost: (request: StartHostRequest) => Promise<Result<UpstreamId, Failure>>;
    readonly stopHost: (upstreamId: UpstreamId, fencingNumber: number) => Promise<Result<void, Failure>>;
    /** Long poll: returns the notices after a sequence number, waiting up to `waitMs` for the first one. */
    readonly reclaimNotices: (
        afterSequence: number,
        waitMs: number,
        signal?: AbortSignal,
    ) => Promise<Result<readonly ReclaimNotice[], Failure>>;
}
