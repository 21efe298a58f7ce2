import type { HostId, RateMeter } from "@ibislanding/core";

/** State of one client account on this host: a token bucket that holds the host's share of the limit. */
export interface AccountState {
    readonly demand: RateMeter;
    readonly admitted: RateMeter;
    /** Tokens in the local bucket; each admitted request consumes one. */
    tokens: number;
    refilledAtMs: number;
    running: number;
    /** Requests admitted by all hosts in excess of the limit; negative when they stayed below it. */
    excessRequests: number;
    /** Fraction of the limit assigned to this host at `shareComputedAtMs`. */
    share: number;
    /** Admission rate of all hosts together at `shareComputedAtMs`. */
    totalAdmittedPerSecond: number;
    shareComputedAtMs: number;
    /** Shares at `snapshotAtMs` and at the snapshot before; recorded only while all hosts are reachable. */
    snapshotShares: ReadonlyMap<HostId, number> | undefined;
    previousSnapshotShares: ReadonlyMap<HostId, number> | undefined;
    snapshotAtMs: number;
}
