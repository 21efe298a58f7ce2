import type { HostId, RateMeter } from "@ibislanding/core";

/** Local share of one client account. */
export interface AccountState {
    readonly demand: RateMeter;
    readonly admitted: RateMeter;
    /** Requests that the local bucket admits at once. */
    tokens: number;
    refilledAtMs: number;
    running: number;
    /** Requests that all hosts together admitted over the limit; negative when they stayed below it. */
    excessRequests: number;
    /** This host's part of the limit, computed at `sharedAtMs`. */
    share: number;
    /** Rate at which all hosts admit, computed at `sharedAtMs`. */
    totalAdmittedPerSecond: number;
    shareComputedAtMs: number;
    /** Shares at `keptAtMs` and at an earlier time, when all hosts were in reach. */
    snapshotShares: ReadonlyMap<HostId, number> | undefined;
    previousSnapshotShares: ReadonlyMap<HostId, number> | undefined;
    snapshotAtMs: number;
}
