/** Speed and limits of an engine stand-in. */
export interface EngineProfile {
    readonly upstreamId: string;
    readonly model: string;
    readonly version: string;
    /** Duration of one iteration, in which each decoding sequence generates one token. */
    readonly iterationMs: number;
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
    /** Capacity of the prefix cache in blocks. */
    readonly cacheBlocks: number;
    /** Interval at which the load report is refreshed, and delay until a cache event becomes visible. */
    readonly reportLagMs: number;
    /** Share of the cache events that are lost, from 0 to 1. */
    readonly cacheEventLoss: number;
    readonly bytesPerCachedToken: number;
    readonly checksFencing: boolean;
    /** Time without a reader after which a finished or cancelled sequence is removed. */
    readonly retentionMs: number;
    readonly seed: number;
}
