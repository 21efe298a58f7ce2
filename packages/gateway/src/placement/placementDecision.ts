import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** Upstream selected for a request, or the reason why the request is refused and when it may be retried. */
export type PlacementDecision =
    | {
        readonly kind: "send";
        readonly upstream: UpstreamRecord;
        readonly predictedMs: number;
        /** Prediction for the same upstream without load. */
        readonly idleMs: number;
        /** Inputs of the decision. */
        readonly backlogMs: number;
        readonly promptMs: number;
        readonly running: number;
        readonly delayFactor?: number | undefined;
    }
    | {
        readonly kind: "refuse";
        readonly reason: "no-upstream" | "no-upstream-of-version" | "paused" | "saturated" | "above-level";
        readonly retryAfterMs: number;
    };
