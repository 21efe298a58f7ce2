import type { ActionRecord } from "./actionRecord";
import type { SegmentReference } from "./segmentReference";

/** The value of a shard that is rewritten by every commit. */
export interface ShardHead {
    /** Open records and ended ones that are not sealed yet, by record id. */
    readonly records: Readonly<Record<string, ActionRecord>>;
    /** Sealed segments, oldest first; a record in a later segment replaces one in an earlier segment. */
    readonly segments: readonly SegmentReference[];
}
