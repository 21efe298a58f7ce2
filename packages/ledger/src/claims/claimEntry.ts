import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionOutcome } from "../actions/actionOutcome";
import type { ClaimStatus } from "../peers/claimStatus";

/** A claim of this process: its status, and the outcome of its attempt once that has ended. */
export interface ClaimEntry {
    readonly status: ClaimStatus;
    readonly completion: Promise<Result<ActionOutcome, Failure>>;
}
