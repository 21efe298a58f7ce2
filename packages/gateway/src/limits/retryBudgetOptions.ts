/** Size of the retry budget over all hosts. */
export interface RetryBudgetOptions {
    /** Further sends for each request. */
    readonly ratio: number;
    /** Further sends in a window beyond the ratio, of all hosts together. */
    readonly slack: number;
    readonly windowMs: number;
    readonly hostCount: () => number;
}
