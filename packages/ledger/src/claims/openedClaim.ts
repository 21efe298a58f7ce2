import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionOutcome } from "../actions/actionOutcome";
import type { ClaimId } from "../model/claimId";

/** The id of a new claim, and the function that resolves the outcome of its attempt. */
export interface OpenedClaim {
    readonly claimId: ClaimId;
    readonly complete: (outcome: Result<ActionOutcome, Failure>) => void;
}
