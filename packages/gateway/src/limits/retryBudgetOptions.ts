/** Size of the retry budget across all hosts. */
export interface RetryBudgetOptions {
    /** Retries per request. */
    readonly ratio: number;
    /** Retries per window beyond the ratio, for all hosts together. */
    readonly slack: number;
    readonly windowMs: number;
    readonly hostCount: () => number;
}
