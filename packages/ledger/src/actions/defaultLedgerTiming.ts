import type { LedgerTiming } from "./ledgerTiming";

/** Default timeouts and delays, for a key-value service that responds within milliseconds. */
export const defaultLedgerTiming: LedgerTiming = {
    storeTimeoutMs: 500,
    groupDelayMs: 5,
    claimTimeoutMs: 2_000,
    recordTimeoutMs: 1_000,
    failedWriterCooldownMs: 1_000,
    retryAfterMs: 1_000,
    stopTimeoutMs: 10_000,
    backoff: { initialDelayMs: 20, maximumDelayMs: 1_000 },
    failFastAttempts: 3,
};
