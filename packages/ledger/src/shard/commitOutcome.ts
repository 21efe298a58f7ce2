import type { Failure } from "@ibislanding/core";
import type { OperationResult } from "../operations/operationResult";

/** Outcome of one attempt to commit a group of operations. */
export type CommitOutcome =
    | { readonly kind: "committed"; readonly results: readonly OperationResult[]; }
    /** The head may be stale, or the outcome of its write is unknown: read it and apply the operations again. */
    | { readonly kind: "reread"; }
    | { readonly kind: "failed"; readonly failure: Failure; };
