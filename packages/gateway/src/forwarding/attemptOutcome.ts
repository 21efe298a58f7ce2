import type { Continuation } from "../engines/continuation";

/** What became of one send. */
export type AttemptOutcome =
    | { readonly kind: "done"; readonly status: number; }
    /** Another upstream may get the request; `isPaid` when the retry budget was asked already. */
    | { readonly kind: "elsewhere"; readonly reason: string; readonly isCharged: boolean; }
    /** Stopped on purpose; the run goes on elsewhere. */
    | { readonly kind: "moved"; readonly reason: string; readonly continuation: Continuation; }
    /** May have run; another upstream may get the request only if it may be repeated. */
    | { readonly kind: "repeat"; readonly reason: string; };
