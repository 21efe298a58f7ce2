import type { LimitsOptions } from "./limitsOptions";

/** Defaults for options that are omitted in the call of `createLimitsState`. */
export const defaultLimitsOptions: LimitsOptions = {
    demandWindowMs: 2_000,
    shareRefreshIntervalMs: 100,
    minimumShareWeight: 0.1,
    peerTimeoutMs: 1_200,
    partitionExcessRatio: 0.05,
    minimumBurstMs: 500,
    excessCorrectionMs: 2_000,
    maximumInFlight: 4_000,
    inFlightShares: { high: 1, normal: 0.9, low: 0.75 },
    minimumRetryAfterMs: 200,
    maximumRetryAfterMs: 10_000,
    retryRatio: 0.1,
    maximumRetryBalance: 20,
};
