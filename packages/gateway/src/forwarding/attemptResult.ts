import type { UpstreamResponse } from "./upstreamResponse";

/** How a send to one upstream went, up to the head of its answer. */
export type AttemptResult =
    /** No byte of the request reached the upstream. */
    | { readonly kind: "unsent"; readonly reason: string; }
    /** The upstream stated that it did not run the request. */
    | { readonly kind: "not-run"; readonly reason: string; }
    /** The request may have run. */
    | { readonly kind: "unknown"; readonly reason: string; }
    | { readonly kind: "answered"; readonly response: UpstreamResponse; };
