import type { RoutingPolicyName } from "@ibislanding/resources";

/** Results of one run of a scenario under one policy, excluding arrivals in the warm-up unless stated otherwise. */
export interface ExperimentResult {
    readonly policy: RoutingPolicyName;
    readonly seed: number;
    readonly replicas: number;
    readonly offeredRequests: number;
    readonly refusedRequests: number;
    /** Number of refused high-priority requests. */
    readonly refusedHighPriority: number;
    /** Number of requests dispatched again because their engine stopped, including the warm-up. */
    readonly movedRequests: number;
    /** Fraction of the offered requests whose first token arrived within the target. */
    readonly targetShare: number;
    /** Fraction of the offered high-priority requests whose first token arrived within the target. */
    readonly highPriorityTargetShare: number;
    /** Requests within the target per second. */
    readonly goodputPerSecond: number;
    readonly firstTokenMsP50: number;
    readonly firstTokenMsP95: number;
    readonly firstTokenMsP99: number;
    /** Prompt tokens that no engine could have cached, because their blocks were new or incomplete. */
    readonly neededTokens: number;
    /** Prompt tokens prefilled in excess of `neededTokens`. */
    readonly recomputedTokens: number;
    /** Price of the hosts and of cross-region traffic per hour. */
    readonly costPerHour: number;
    /** Fraction of the requests within the target by second of arrival, including the warm-up; 1 for a second without requests. */
    readonly targetShareBySecond: readonly number[];
}
