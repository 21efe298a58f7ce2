/** Limits of one client account across all entry hosts, as declared in its `ClientAccountSpec`. */
export interface AccountLimits {
    readonly requestsPerSecond: number;
    readonly burstRequests: number;
    readonly maximumConcurrent: number;
}
