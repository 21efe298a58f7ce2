import type { UpstreamId } from "@ibislanding/core";

/** The chosen upstream and what is expected of it. */
export interface Selection {
    readonly upstreamId: UpstreamId;
    readonly expectedCachedTokens: number;
    readonly predictedFirstTokenMs: number;
    /** Price of the machine time and transfer that the request uses. */
    readonly costEstimate: number;
    /** Upstreams that could run the request. */
    readonly eligibleCount: number;
    /** Eligible upstreams that were predicted to meet the latency target. */
    readonly meetingTargetCount: number;
}
