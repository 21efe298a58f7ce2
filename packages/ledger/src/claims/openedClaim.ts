import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionOutcome } from "../actions/actionOutcome";
import type { ClaimId } from "../model/claimId";

/** A new claim id and the function that settles those who wait for its attempt. */
export interface OpenedClaim {
    readonly claimId: ClaimId;
    readonly complete: (outcome: Result<ActionOutcome, Failure>) => void;
}
