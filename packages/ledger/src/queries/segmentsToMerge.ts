import type { LedgerLimits } from "../model/ledgerLimits";
import type { SegmentReference } from "../model/segmentReference";

/** Returns the first `mergeSegmentCount` of the small segments at the end of the list, or none if there are fewer. */
export const segmentsToMerge = (
    segments: readonly SegmentReference[],
    limits: LedgerLimits,
): readonly SegmentReference[] => {
    const smallBytes = limits.maximumSegmentBytes / limits.mergeSegmentCount;
    const lastLarge = segments.findLastIndex(({ sizeBytes }) => sizeBytes > smallBytes);
    const small = segments.slice(lastLarge + 1);
    return small.length >= limits.mergeSegmentCount ? small.slice(0, limits.mergeSegmentCount) : [];
};
