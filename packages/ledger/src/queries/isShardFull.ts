import type { LedgerLimits } from "../model/ledgerLimits";
import type { ShardHead } from "../model/shardHead";
import { recordBytes } from "./recordBytes";

/** Estimated size of a segment reference in a stored head. */
const SEGMENT_REFERENCE_BYTES = 140;

/** Returns whether a shard has reached a size limit and refuses new claims. */
export const isShardFull = (head: ShardHead, limits: LedgerLimits): boolean => {
    const recordsBytes = Object.values(head.records).reduce((sum, record) => sum + recordBytes(record), 0);
    const headBytes = recordsBytes + head.segments.length * SEGMENT_REFERENCE_BYTES;
    const sealedBytes = head.segments.reduce((sum, segment) => sum + segment.sizeBytes, 0);
    return headBytes >= limits.maximumHeadBytes || headBytes + sealedBytes >= limits.maximumShardBytes;
};
