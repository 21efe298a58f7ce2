import type { ClaimId } from "../model/claimId";

/** What the sender of an action is given. */
export interface SendContext {
    readonly claimId: ClaimId;
    /** Time that is left until the deadline of the request. */
    readonly timeoutMs: number;
}
