import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";

/** Owner of one shard in this process; commits operations in groups with one write at a time. */
export interface ShardTask extends AsyncDisposable {
    /**
     * Applies an operation. Claims and reads fail once the service is found unavailable; other operations wait until
     * they are applied or the task is disposed of.
     */
    readonly submit: (
        operation: LedgerOperation,
        isCancelled?: () => boolean,
    ) => Promise<Result<OperationResult, Failure>>;
    readonly pendingCount: () => number;
}
