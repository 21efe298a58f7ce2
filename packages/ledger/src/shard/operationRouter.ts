import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";

/** Brings operations to a writer of their shard. */
export interface OperationRouter extends AsyncDisposable {
    /** Lets the preferred writer commit the operation, and commits it here when that fails. */
    readonly submit: (
        operation: LedgerOperation,
        isCancelled?: () => boolean,
    ) => Promise<Result<OperationResult, Failure>>;
    /** Commits the operation in this process. */
    readonly commitLocally: (shard: number, operation: LedgerOperation) => Promise<Result<OperationResult, Failure>>;
    /** Operations that wait for a commit in this process, by shard. */
    readonly pendingCounts: () => readonly number[];
}
