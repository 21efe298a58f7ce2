import type { Failure } from "@ibislanding/core";

/** Result of one attempt. */
export type AttemptEnd =
    | { readonly type: "finished"; }
    | { readonly type: "failed"; readonly failure: Failure; }
    /** The upstream is about to leave and the answer is not complete. */
    | { readonly type: "evacuated"; };
