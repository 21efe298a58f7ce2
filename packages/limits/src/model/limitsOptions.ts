/** Tuning parameters of account limits, admission and retry budgets. */
export interface LimitsOptions {
    /** Time constant of the moving averages of demand and of admitted requests. */
    readonly demandWindowMs: number;
    /** Minimum interval between two computations of an account's share. */
    readonly shareRefreshIntervalMs: number;
    /** Minimum weight of a host, relative to an equal share. */
    readonly minimumShareWeight: number;
    /** Time without a report after which a peer is considered unreachable. */
    readonly peerTimeoutMs: number;
    /** Maximum relative excess over the share that the reachable hosts had before a network partition. */
    readonly partitionExcessRatio: number;
    /** Minimum capacity of a local bucket, as the time to fill it at the local rate. */
    readonly minimumBurstMs: number;
    /** Time over which an excess of all hosts over the limit is deducted from later refills. */
    readonly excessCorrectionMs: number;
    /** Maximum number of requests in flight in this process. */
    readonly maximumInFlight: number;
    /** Fraction of `maximumInFlight` up to which each priority is admitted. */
    readonly inFlightShares: Readonly<Record<"high" | "normal" | "low", number>>;
    readonly minimumRetryAfterMs: number;
    readonly maximumRetryAfterMs: number;
    /** Retries that each request adds to the budget of its service. */
    readonly retryRatio: number;
    /** Maximum number of unused retries that a service can accumulate. */
    readonly maximumRetryBalance: number;
}
