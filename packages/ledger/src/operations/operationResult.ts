import type { ActionRecord } from "../model/actionRecord";

/** Result of one operation. */
export type OperationResult =
    /** The claim named by the operation is open and confirmed. */
    | { readonly kind: "claimed"; }
    /** The record after the operation, which may belong to another claim. */
    | { readonly kind: "recorded"; readonly record: ActionRecord; }
    /** There is no record after the operation. */
    | { readonly kind: "absent"; }
    /** The key was already used for a request with another digest. */
    | { readonly kind: "keyReused"; }
    /** The shard is full and currently refuses new claims. */
    | { readonly kind: "full"; };
