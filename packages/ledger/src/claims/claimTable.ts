import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionOutcome } from "../actions/actionOutcome";
import type { ClaimId } from "../model/claimId";
import type { ClaimStatus } from "../peers/claimStatus";
import type { OpenedClaim } from "./openedClaim";

/** Claims of this process and their statuses. */
export interface ClaimTable {
    /** Registers a new claim as `running`. */
    readonly open: () => OpenedClaim;
    readonly statusOf: (claimId: ClaimId) => ClaimStatus;
    /** Marks a claim as abandoned permanently; its action must not have run and must never be sent. */
    readonly abandon: (claimId: ClaimId) => void;
    /** Marks a claim as `finished`: its action is done or may have run, and that is being recorded. */
    readonly markFinished: (claimId: ClaimId) => void;
    /** Returns the promise of the attempt's outcome, or undefined if the claim is not in the table. */
    readonly completionOf: (claimId: ClaimId) => Promise<Result<ActionOutcome, Failure>> | undefined;
    /** Removes a claim that needs no further recording; an abandoned claim keeps the status `abandoned`. */
    readonly remove: (claimId: ClaimId) => void;
    readonly countByStatus: () => Readonly<Record<string, number>>;
}
