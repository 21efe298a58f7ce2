/** A request that this entry host sent to an upstream and that has not finished. */
export interface InFlightRequest {
    readonly startedAtMs: number;
    readonly uncachedTokens: number;
    readonly blockHashes: readonly string[];
}
