import type { LedgerOperation } from "../operations/ledgerOperation";
import type { CommitOutcome } from "./commitOutcome";

/** Commits groups of operations to the head of a shard. */
export interface ShardCommitter {
    readonly commit: (operations: readonly LedgerOperation[]) => Promise<CommitOutcome>;
    /** Merges small segments when there are many. */
    readonly mergeSegments: () => Promise<void>;
}
