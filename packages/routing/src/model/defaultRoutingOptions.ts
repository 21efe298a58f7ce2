import type { RoutingOptions } from "./routingOptions";

/** Options used unless others are given. */
export const defaultRoutingOptions: RoutingOptions = {
    blockTokens: 64,
    maximumBlocksPerUpstream: 20_000,
    guessLifetimeMs: 60_000,
    affinityBlocks: 4,
    reportExpiryMs: 3_000,
    drainHeadroomShare: 0.1,
    latencyWeight: 1,
    scoreTolerance: 0.05,
    spreadTolerance: 0.2,
    loadBound: 1.25,
    warmShare: 0.5,
    highPriorityOverrun: 3,
    targetShares: { high: 1, normal: 0.9, low: 0.7 },
    sameRegionDelayMs: 1,
    crossRegionDelayMs: 20,
    engineOverheadMs: 10,
    initialSequenceMs: 2_000,
    minimumRetryAfterMs: 500,
    maximumRetryAfterMs: 5_000,
    ejectionFailures: 5,
    ejectionMs: 5_000,
    maximumEjectionMs: 60_000,
    maximumEjectedShare: 0.5,
};
