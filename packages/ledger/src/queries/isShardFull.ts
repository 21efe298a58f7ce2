import type { LedgerLimits } from "../model/ledgerLimits";
import type { ShardHead } from "../model/shardHead";
import { recordBytes } from "./recordBytes";

/** Tells whether a shard refuses further claims. */
export const isShardFull = (head: ShardHead, limits: LedgerLimits): boolean => {
    const headBytes = Object.values(head.records).reduce((sum, record) => sum + recordBytes(record), 0);
    const sealedBytes = head.segments.reduce((sum, segment) => sum + segment.sizeBytes, 0);
    return headBytes >= limits.maximumHeadBytes || headBytes + sealedBytes >= limits.maximumShardBytes;
};
