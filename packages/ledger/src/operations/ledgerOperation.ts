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
 * A change or query of one record. Applying an operation a second time has no further effect, because it names the
 * claim that it belongs to.
 */
export type LedgerOperation =
    /** Opens a record unless one exists. */
    | ClaimFields & { readonly kind: "claim"; }
    /** Replaces a claim whose holder will not send, or one of a service that recognises repeated keys. */
    | ClaimFields & { readonly kind: "takeOver"; readonly previousClaimId: ClaimId; }
    /** Records the answer; only the holder of the claim sends this. */
    | OperationTarget & { readonly kind: "finish"; readonly claimId: ClaimId; readonly answer: RecordedAnswer; }
    /** Removes the record of an action that did not run; only the holder of the claim sends this. */
    | OperationTarget & { readonly kind: "release"; readonly claimId: ClaimId; }
    /** Marks an open claim as one that may have run. */
    | OperationTarget & { readonly kind: "markUnknown"; readonly claimId: ClaimId; }
    /** Reads the record. */
    | OperationTarget & { readonly kind: "read"; };
