import type { LedgerLimits } from "../model/ledgerLimits";
import type { SegmentReference } from "../model/segmentReference";

/** Returns the newest segments that fit into one, once there are enough of them. */
export const segmentsToMerge = (
    segments: readonly SegmentReference[],
    limits: LedgerLimits,
): readonly SegmentReference[] => {
    const fitting = segments.reduceRight<{ readonly sizeBytes: number; readonly keys: readonly SegmentReference[]; }>(
        ({ sizeBytes, keys }, segment) => ({
            sizeBytes: sizeBytes + segment.sizeBytes,
            keys: sizeBytes + segment.sizeBytes <= limits.maximumSegmentBytes ? [segment, ...keys] : keys,
        }),
        { sizeBytes: 0, keys: [] },
    ).keys;
    return fitting.length >= limits.mergeSegmentCount ? fitting : [];
};
