import type { ClaimId } from "../model/claimId";

/** Argument of `ActionRequest.send`. */
export interface SendContext {
    readonly claimId: ClaimId;
    /** Remaining time until the deadline of the request. */
    readonly timeoutMs: number;
}
