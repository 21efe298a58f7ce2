import type { Failure } from "@ibislanding/core";
import type { ActionOutcome } from "@ibislanding/ledger";
import type { Result } from "ts-results";

/** What callers and the upstream observed in one run. */
export interface History {
    readonly attempts: readonly {
        readonly id: string;
        readonly attempt: number;
        /** Undefined when the caller got no answer. */
        readonly outcome: Result<ActionOutcome, Failure> | undefined;
    }[];
    /** Runs of actions at the upstream, with the attempt that caused each. */
    readonly effects: readonly { readonly id: string; readonly attempt: number; }[];
    /** Number of the first attempt made after all faults had ended. */
    readonly firstFinalAttempt: number;
    readonly unrecordedEnds: number;
}
