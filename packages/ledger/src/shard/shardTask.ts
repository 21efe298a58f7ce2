import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";

/** Commits the operations of one shard in this process, in groups and with one commit at a time. */
export interface ShardTask extends AsyncDisposable {
    /**
     * Applies an operation. Claims, takeovers and reads fail after several failed commits in succession; other
     * operations wait until they are applied, cancelled or the task is disposed of.
     */
    readonly submit: (
        operation: LedgerOperation,
        isCancelled?: () => boolean,
    ) => Promise<Result<OperationResult, Failure>>;
    /** Number of operations that are not settled yet. */
    readonly pendingCount: () => number;
}
