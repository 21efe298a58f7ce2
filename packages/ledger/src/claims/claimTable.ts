import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionOutcome } from "../actions/actionOutcome";
import type { ClaimId } from "../model/claimId";
import type { ClaimStatus } from "../peers/claimStatus";
import type { OpenedClaim } from "./openedClaim";

/** Claims that this process made, with what became of them. */
export interface ClaimTable {
    readonly open: () => OpenedClaim;
    readonly statusOf: (claimId: ClaimId) => ClaimStatus;
    /** Gives a claim up for good; it must not have been sent. */
    readonly abandon: (claimId: ClaimId) => void;
    /** Notes that the action ended. */
    readonly markFinished: (claimId: ClaimId) => void;
    /** Returns what settles with the attempt. */
    readonly completionOf: (claimId: ClaimId) => Promise<Result<ActionOutcome, Failure>> | undefined;
    /** Drops a claim whose end is recorded. */
    readonly remove: (claimId: ClaimId) => void;
    readonly countByStatus: () => Readonly<Record<string, number>>;
}
