import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionRecord } from "../model/actionRecord";
import type { OperationResult } from "../operations/operationResult";

/** Decisions on which the at-most-once guarantee depends. */
export interface ClaimStrategy {
    /** Returns whether the outcome of a claim, undefined if it timed out, allows the action to be sent. */
    readonly maySend: (outcome: Result<OperationResult, Failure> | undefined) => boolean;
    /** Returns whether a claim may be replaced although its outcome cannot be determined. */
    readonly mayReplace: (record: ActionRecord, nowMs: number) => boolean;
}
