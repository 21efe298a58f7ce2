/** Constants of the limits. */
export interface LimitsOptions {
    /** Time over which demand is averaged. */
    readonly demandWindowMs: number;
    /** Time for which a computed share is used. */
    readonly shareRefreshIntervalMs: number;
    /** Least weight of a host, relative to an equal share. */
    readonly minimumShareWeight: number;
    /** Time without reports after which a peer counts as cut off. */
    readonly peerTimeoutMs: number;
    /** Greatest excess over the share that the reachable hosts had when peers were cut off. */
    readonly partitionExcessRatio: number;
    /** Local rate times this is the least capacity of a local bucket. */
    readonly minimumBurstMs: number;
    /** Time within which an excess of all hosts over the limit is paid back. */
    readonly excessCorrectionMs: number;
    /** Requests that this process may have in flight. */
    readonly maximumInFlight: number;
    /** Part of `maximumInFlight` up to which each priority is admitted. */
    readonly inFlightShares: Readonly<Record<"high" | "normal" | "low", number>>;
    readonly minimumRetryAfterMs: number;
    readonly maximumRetryAfterMs: number;
    /** Retries allowed for each request. */
    readonly retryRatio: number;
    /** Unused retries that a service may save up. */
    readonly maximumRetryBalance: number;
}
