/** Speed and limits of an engine stand-in. */
export interface EngineProfile {
    readonly upstreamId: string;
    readonly model: string;
    readonly version: string;
    /** Duration of one iteration; each running sequence yields one token in it. */
    readonly iterationMs: number;
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
    /** Capacity of the prefix cache. */
    readonly cacheBlocks: number;
    /** Age of the load report and of cache events. */
    readonly reportLagMs: number;
    /** Part of the cache events that is not published. */
    readonly cacheEventLoss: number;
    readonly bytesPerCachedToken: number;
    readonly checksFencing: boolean;
    /** Time after which a finished stream is forgotten. */
    readonly retentionMs: number;
    readonly seed: number;
}
