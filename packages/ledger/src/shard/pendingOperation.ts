import type { Deferred, Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";

/** An operation that waits to be committed. */
export interface PendingOperation {
    readonly operation: LedgerOperation;
    readonly deferred: Deferred<Result<OperationResult, Failure>>;
    /** Returns whether the operation must no longer be applied. */
    readonly isCancelled: () => boolean;
}
