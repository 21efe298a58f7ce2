/** A request of this entry host that an upstream has. */
export interface InFlightRequest {
    readonly startedAtMs: number;
    readonly uncachedTokens: number;
    readonly blockHashes: readonly string[];
}
