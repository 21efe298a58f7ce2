import type { BackoffPolicy } from "@ibislanding/core";

/** Numbers that tune the decisions of control. */
export interface PlacementPolicy {
    /** Capacity planned above the demand, as a share of it. */
    readonly headroomShare: number;
    /** A move to cheaper hosts must save at least this share of the price. */
    readonly minimumSavingShare: number;
    /** Replicas that are drained at the same time to save cost. */
    readonly maximumConcurrentDrains: number;
    /** Time within which a started host must appear in the host list. */
    readonly startTimeoutMs: number;
    /** Time after which a draining replica is stopped although work runs on it. */
    readonly drainTimeoutMs: number;
    /** Time during which entry hosts learn that an upstream leaves before it is stopped. */
    readonly minimumDrainMs: number;
    /** Model and adapter loads that one holder runs at the same time. */
    readonly maximumConcurrentLoads: number;
    /** Time after which an order that shows no effect is sent again. */
    readonly orderRetryIntervalMs: number;
    /** Delay before a refused choice is tried again. */
    readonly refusalBackoff: BackoffPolicy;
}
