import type { BackoffPolicy } from "@ibislanding/core";

/** Numbers that tune the decisions of control. */
export interface PlacementPolicy {
    /** Capacity planned above the demand, as a share of it. */
    readonly headroomShare: number;
    /** A move to cheaper hosts must save at least this share of the price. */
    readonly moveSavingShare: number;
    /** Replicas that are drained at the same time to save cost. */
    readonly concurrentDrains: number;
    /** Time within which a started host must appear in the host list. */
    readonly appearanceTimeoutMs: number;
    /** Time after which a draining replica is stopped although work runs on it. */
    readonly drainTimeoutMs: number;
    /** Time during which entry hosts learn that an upstream leaves before it is stopped. */
    readonly minimumDrainMs: number;
    /** Model and adapter loads that one holder runs at the same time. */
    readonly concurrentLoads: number;
    /** Time after which an order that shows no effect is sent again. */
    readonly orderRetryMs: number;
    /** Delay before a refused choice is tried again. */
    readonly refusalBackoff: BackoffPolicy;
}
