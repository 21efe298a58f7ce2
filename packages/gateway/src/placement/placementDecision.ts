import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** Outcome of placement. */
export type PlacementDecision =
    | { readonly kind: "send"; readonly upstream: UpstreamRecord; readonly predictedMs: number; }
    | { readonly kind: "refuse"; readonly reason: "no-upstream" | "saturated"; readonly retryAfterMs: number; };
