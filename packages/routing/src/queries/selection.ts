import type { UpstreamId } from "@ibislanding/core";

/** The selected upstream with the predictions for the request there. */
export interface Selection {
    readonly upstreamId: UpstreamId;
    readonly expectedCachedTokens: number;
    readonly predictedFirstTokenMs: number;
    /** Estimated cost of the request's machine time, weighted by `priceExponent`, and of its data transfer. */
    readonly costEstimate: number;
    /** Number of upstreams that can run the request. */
    readonly eligibleCount: number;
    /** Number of eligible upstreams that are predicted to meet the latency target. */
    readonly meetingTargetCount: number;
}
