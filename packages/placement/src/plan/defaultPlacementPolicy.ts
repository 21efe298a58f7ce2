import type { PlacementPolicy } from "./placementPolicy";

/** Policy used unless another one is given. */
export const defaultPlacementPolicy: PlacementPolicy = {
    headroomShare: 0.2,
    moveSavingShare: 0.1,
    concurrentDrains: 1,
    appearanceTimeoutMs: 120_000,
    drainTimeoutMs: 300_000,
    minimumDrainMs: 5_000,
    concurrentLoads: 2,
    orderRetryMs: 10_000,
    refusalBackoff: { initialDelayMs: 5_000, maximumDelayMs: 120_000 },
};
