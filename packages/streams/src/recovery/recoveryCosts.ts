/** What decides between moving a KV cache and computing it again. */
export interface RecoveryCosts {
    readonly promptTokens: number;
    readonly deliveredTokens: number;
    /** Prompt tokens that the new upstream is expected to have cached. */
    readonly expectedCachedTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Size of the exported cache. */
    readonly cacheBytes: number;
    readonly transferBytesPerSecond: number;
    /** Price of a byte on the link between the two upstreams; 0 within a region. */
    readonly pricePerByte: number;
    /** Price of a second of prefill on the new upstream. */
    readonly pricePerPrefillSecond: number;
    /** Price that one second of the caller's waiting is worth. */
    readonly pricePerSecondOfDelay: number;
}
