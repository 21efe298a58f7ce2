import type { ActionRecord } from "./actionRecord";
import type { SegmentReference } from "./segmentReference";

/** The mutable value of a shard, rewritten by every commit that changes it. */
export interface ShardHead {
    /**
     * Time of the shard at its last commit. It advances only by elapsed time measured by a process, so that neither a
     * wrong wall clock nor a process pause ends a retention early; it does not advance while no process uses the shard.
     */
    readonly shardTimeMs: number;
    /** Open records, and ended records that are not sealed yet, by record id. */
    readonly records: Readonly<Record<string, ActionRecord>>;
    /** Sealed segments, oldest first; a record in a later segment replaces one in an earlier segment. */
    readonly segments: readonly SegmentReference[];
}
