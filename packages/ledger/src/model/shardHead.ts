import type { ActionRecord } from "./actionRecord";
import type { SegmentReference } from "./segmentReference";

/** The value of a shard that is rewritten by every commit. */
export interface ShardHead {
    /**
     * Time of the shard at its last commit. It advances only by elapsed time that some process measured, so that
     * neither a wrong wall clock nor a pause ends a retention early; while no process uses the shard it stands still.
     */
    readonly shardTimeMs: number;
    /** Open records and ended ones that are not sealed yet, by record id. */
    readonly records: Readonly<Record<string, ActionRecord>>;
    /** Sealed segments, oldest first; a record in a later segment replaces one in an earlier segment. */
    readonly segments: readonly SegmentReference[];
}
