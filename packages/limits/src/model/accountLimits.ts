/** Limits of one client account over all entry hosts; a `ClientAccountSpec` has these fields. */
export interface AccountLimits {
    readonly requestsPerSecond: number;
    readonly burstRequests: number;
    readonly maximumConcurrent: number;
}
