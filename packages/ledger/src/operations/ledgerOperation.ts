import type { AccountId, ActionKey } from "@ibislanding/core";
import type { ClaimId } from "../model/claimId";
import type { ClaimWriter } from "../model/claimWriter";
import type { RecordedAnswer } from "../model/recordedAnswer";

interface OperationTarget {
    readonly accountId: AccountId;
    readonly key: ActionKey;
}

interface ClaimFields extends OperationTarget {
    readonly claimId: ClaimId;
    readonly requestSha256: string;
    readonly writer: ClaimWriter;
}

/**
 * A change to one record, or a query of it. Changes are idempotent: each names the claim that it belongs to, so that
 * applying it a second time has no further effect.
 */
export type LedgerOperation =
    /** Opens a record unless one exists. */
    | ClaimFields & { readonly kind: "claim"; }
    /** Replaces a claim that was abandoned, or one of unknown outcome whose action may be sent again. */
    | ClaimFields & { readonly kind: "takeOver"; readonly previousClaimId: ClaimId; }
    /** Records the answer; submitted only by the attempt that opened the claim. */
    | OperationTarget & { readonly kind: "finish"; readonly claimId: ClaimId; readonly answer: RecordedAnswer; }
    /** Removes the record of an action that did not run; submitted only by the attempt that made the claim. */
    | OperationTarget & { readonly kind: "release"; readonly claimId: ClaimId; }
    /** Marks an open claim as one whose action may have run. */
    | OperationTarget & { readonly kind: "markUnknown"; readonly claimId: ClaimId; }
    /** Reads the record. */
    | OperationTarget & { readonly kind: "read"; };
