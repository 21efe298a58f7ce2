import type { PlacementPolicy } from "./placementPolicy";

/** Policy used in production. */
export const defaultPlacementPolicy: PlacementPolicy = {
    headroomShare: 0.2,
    minimumSavingShare: 0.1,
    maximumConcurrentDrains: 1,
    startTimeoutMs: 120_000,
    drainTimeoutMs: 300_000,
    minimumDrainMs: 5_000,
    maximumConcurrentLoads: 2,
    orderRetryIntervalMs: 10_000,
    refusalBackoff: { initialDelayMs: 5_000, maximumDelayMs: 120_000 },
};
