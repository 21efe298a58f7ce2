/** Counters of an engine since its start. */
export interface EngineStatistics {
    readonly requests: number;
    readonly promptTokens: number;
    readonly prefilledTokens: number;
    readonly cachedTokens: number;
    readonly importedTokens: number;
    readonly generatedTokens: number;
    readonly cancelledRequests: number;
    readonly refusedAfterLeaving: number;
    /** Time from the start of draining until the latest request refused because of it; 0 if there was none. */
    readonly lastOfferAfterLeavingMs: number;
}
