import type { BackoffPolicy } from "@ibislanding/core";

/** Tuning parameters of placement decisions and orders. */
export interface PlacementPolicy {
    /** Additional capacity, as a fraction of the demand. */
    readonly headroomShare: number;
    /** Minimum fraction of the price that a move to cheaper hosts must save. */
    readonly minimumSavingShare: number;
    /** Maximum number of replicas that are drained at the same time to reduce cost. */
    readonly maximumConcurrentDrains: number;
    /** Time after its start within which a host must appear in the host list. */
    readonly startTimeoutMs: number;
    /** Time after which a draining replica is stopped even if requests are still running on it. */
    readonly drainTimeoutMs: number;
    /** Minimum time before a draining upstream is stopped, so that entry hosts are notified before it stops. */
    readonly minimumDrainMs: number;
    /** Maximum number of concurrent model and adapter loads in one service. */
    readonly maximumConcurrentLoads: number;
    /** Time after which an order without an observed effect is sent again. */
    readonly orderRetryIntervalMs: number;
    /** Backoff before a choice whose start was refused is tried again. */
    readonly refusalBackoff: BackoffPolicy;
}
