import type { LedgerLimits } from "./ledgerLimits";

const HOUR_MS = 3_600_000;

/** Default limits, for a key-value service that stores values of up to 1 MB. */
export const defaultLedgerLimits: LedgerLimits = {
    shardCount: 4,
    retentionMs: 24 * HOUR_MS,
    sealBytes: 4_000,
    maximumSegmentBytes: 400_000,
    mergeSegmentCount: 16,
    maximumHeadBytes: 200_000,
    maximumShardBytes: 64_000_000,
    maximumAnswerBytes: 200_000,
    maximumBatch: 256,
};
