import type { UpstreamResponse } from "./upstreamResponse";

/** Result of an attempt up to the head of the upstream's response. */
export type AttemptResult =
    /** No byte of the request was sent to the upstream. */
    | { readonly kind: "unsent"; readonly reason: string; }
    /** The upstream stated that it did not run the request. */
    | { readonly kind: "not-run"; readonly reason: string; }
    /** The request may have run; `isLost` if the upstream's connection ended without a response. */
    | { readonly kind: "unknown"; readonly reason: string; readonly isLost: boolean; }
    | { readonly kind: "answered"; readonly response: UpstreamResponse; };
