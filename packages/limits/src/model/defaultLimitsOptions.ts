import type { LimitsOptions } from "./limitsOptions";

/** Options used unless others are given. */
export const defaultLimitsOptions: LimitsOptions = {
    demandWindowMs: 2_000,
    shareIntervalMs: 100,
    minimumWeight: 0.1,
    peerSilenceMs: 1_200,
    splitExcess: 0.05,
    leastBurstMs: 500,
    paybackMs: 2_000,
    maximumInFlight: 4_000,
    inFlightShares: { high: 1, normal: 0.9, low: 0.75 },
    minimumRetryAfterMs: 200,
    maximumRetryAfterMs: 10_000,
    retryRatio: 0.1,
    maximumSavedRetries: 20,
};
