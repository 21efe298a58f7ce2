import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";

/** Routes operations to a writer of their shard. */
export interface OperationRouter extends AsyncDisposable {
    /** Forwards the operation to a remote preferred writer; commits it here if there is none or forwarding fails. */
    readonly submit: (
        operation: LedgerOperation,
        isCancelled?: () => boolean,
    ) => Promise<Result<OperationResult, Failure>>;
    /** Commits the operation in this process. */
    readonly commitLocally: (shard: number, operation: LedgerOperation) => Promise<Result<OperationResult, Failure>>;
    /** Number of operations waiting for a commit in this process, by shard. */
    readonly pendingCounts: () => readonly number[];
}
