import type { Failure } from "@ibislanding/core";
import type { ActionOutcome } from "@ibislanding/ledger";
import type { Result } from "ts-results";

/** Observations of the callers and the upstream in one run of a scenario. */
export interface History {
    readonly attempts: readonly {
        readonly id: string;
        readonly attempt: number;
        /** Undefined if the caller received no answer. */
        readonly outcome: Result<ActionOutcome, Failure> | undefined;
    }[];
    /** Actions run by the upstream, each with the attempt that caused it. */
    readonly effects: readonly { readonly id: string; readonly attempt: number; }[];
    /** Index of the first attempt made after all faults have ended. */
    readonly firstFinalAttempt: number;
    readonly unrecordedEnds: number;
}
