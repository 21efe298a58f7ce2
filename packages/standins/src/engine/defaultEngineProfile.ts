import type { EngineProfile } from "./engineProfile";

/** Default profile, used by the engines of the example system. */
export const defaultEngineProfile: EngineProfile = {
    upstreamId: "engine-1",
    model: "advisor",
    version: "1",
    iterationMs: 20,
    concurrentSequences: 16,
    prefillTokensPerSecond: 20_000,
    cacheBlocks: 512,
    reportLagMs: 300,
    cacheEventLoss: 0.05,
    bytesPerCachedToken: 1_000,
    checksFencing: true,
    retentionMs: 30_000,
    seed: 1,
};
