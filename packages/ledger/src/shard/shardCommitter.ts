import type { LedgerOperation } from "../operations/ledgerOperation";
import type { CommitOutcome } from "./commitOutcome";

/** Commits groups of operations to the head of a shard. */
export interface ShardCommitter {
    readonly commit: (operations: readonly LedgerOperation[]) => Promise<CommitOutcome>;
    /** Merges the small segments at the end of the list, once there are `mergeSegmentCount` of them. */
    readonly mergeSegments: () => Promise<void>;
}
