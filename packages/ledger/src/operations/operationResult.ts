import type { ActionRecord } from "../model/actionRecord";

/** What an operation found or did. */
export type OperationResult =
    /** The claim named by the operation is open and confirmed. */
    | { readonly kind: "claimed"; }
    /** The record as it is after the operation. */
    | { readonly kind: "recorded"; readonly record: ActionRecord; }
    /** There is no record. */
    | { readonly kind: "absent"; }
    /** The record belongs to another request. */
    | { readonly kind: "keyReused"; }
    /** The shard takes no further claims now. */
    | { readonly kind: "full"; };
