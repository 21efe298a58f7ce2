import type { Failure } from "@ibislanding/core";

/** How an attempt ended. */
export type AttemptEnd =
    | { readonly type: "finished"; }
    | { readonly type: "failed"; readonly failure: Failure; }
    /** The upstream leaves before the answer would be whole. */
    | { readonly type: "evacuated"; };
