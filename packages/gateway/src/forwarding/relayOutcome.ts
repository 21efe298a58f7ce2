import type { Result } from "ts-results";
import type { AttemptOutcome } from "./attemptOutcome";
import type { Refusal } from "./refusal";

/** Relaying ends with the result for the client, or with the outcome of an attempt after which another may follow. */
export type RelayOutcome =
    | { readonly kind: "final"; readonly result: Result<number, Refusal>; }
    | { readonly kind: "attempt"; readonly outcome: AttemptOutcome & { readonly kind: "repeat"; }; };
