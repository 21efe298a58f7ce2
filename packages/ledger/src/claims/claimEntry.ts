import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionOutcome } from "../actions/actionOutcome";
import type { ClaimStatus } from "../peers/claimStatus";

/** One claim of this process. */
export interface ClaimEntry {
    readonly status: ClaimStatus;
    readonly completion: Promise<Result<ActionOutcome, Failure>>;
}
