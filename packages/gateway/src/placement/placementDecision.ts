import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** Outcome of placement. */
export type PlacementDecision =
    | {
        readonly kind: "send";
        readonly upstream: UpstreamRecord;
        readonly predictedMs: number;
        /** Inputs of the choice. */
        readonly backlogMs: number;
        readonly promptMs: number;
        readonly running: number;
    }
    | { readonly kind: "refuse"; readonly reason: "no-upstream" | "saturated"; readonly retryAfterMs: number; };
