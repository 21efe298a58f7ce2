import type { Deferred, Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";

/** An operation that waits for its commit. */
export interface PendingOperation {
    readonly operation: LedgerOperation;
    readonly deferred: Deferred<Result<OperationResult, Failure>>;
    /** Tells whether the operation must not be applied any more. */
    readonly isCancelled: () => boolean;
}
