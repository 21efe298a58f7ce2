import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionRecord } from "../model/actionRecord";
import type { OperationResult } from "../operations/operationResult";

/** Decisions on which at-most-once depends. */
export interface ClaimStrategy {
    /** Tells whether the outcome of the claim, undefined when there was none in time, allows to send. */
    readonly maySend: (outcome: Result<OperationResult, Failure> | undefined) => boolean;
    /** Tells whether a claim may be replaced although its writer cannot say what became of it. */
    readonly mayReplace: (record: ActionRecord, nowMs: number) => boolean;
}
