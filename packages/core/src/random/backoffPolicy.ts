/** Initial and maximum delay of an exponential backoff. */
export interface BackoffPolicy {
    readonly initialDelayMs: number;
    readonly maximumDelayMs: number;
}
