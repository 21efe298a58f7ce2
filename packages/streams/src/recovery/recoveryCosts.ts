/** Inputs of the choice between importing a KV cache and recomputing it. */
export interface RecoveryCosts {
    readonly promptTokens: number;
    readonly deliveredTokens: number;
    /** Prompt tokens that the new upstream is expected to have cached. */
    readonly expectedCachedTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Size of the exported cache. */
    readonly cacheBytes: number;
    readonly transferBytesPerSecond: number;
    /** Price of transferring one byte between the two upstreams; 0 within a region. */
    readonly pricePerByte: number;
    /** Price of one second of prefill on the new upstream. */
    readonly pricePerPrefillSecond: number;
    /** Cost assigned to one second of delay to the caller. */
    readonly pricePerSecondOfDelay: number;
}
