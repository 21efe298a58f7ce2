import type { RoutingPolicyName } from "@ibislanding/resources";

/** What one run of a scenario under one policy gave, after the warm-up. */
export interface ExperimentResult {
    readonly policy: RoutingPolicyName;
    readonly seed: number;
    readonly replicas: number;
    readonly offeredRequests: number;
    readonly refusedRequests: number;
    /** Refusals of high-priority requests. */
    readonly refusedHighPriority: number;
    readonly movedRequests: number;
    /** Part of the offered requests whose first token came within the target. */
    readonly targetShare: number;
    /** Part of the offered high-priority requests whose first token came within the target. */
    readonly highPriorityTargetShare: number;
    /** Requests within the target a second. */
    readonly goodputPerSecond: number;
    readonly firstTokenMsP50: number;
    readonly firstTokenMsP95: number;
    readonly firstTokenMsP99: number;
    readonly neededTokens: number;
    readonly recomputedTokens: number;
    /** Price of the hosts and of the bytes between regions, an hour. */
    readonly costPerHour: number;
    /** Part of the offered requests within the target in each second of the run. */
    readonly targetShareBySecond: readonly number[];
}
