import type { UpstreamId } from "@ibislanding/core";

/** The selected upstream with the predictions for the request there. */
export interface Selection {
    readonly upstreamId: UpstreamId;
    readonly expectedCachedTokens: number;
    readonly predictedFirstTokenMs: number;
    /** Estimated price of the machine time and the data transfer that the request uses. */
    readonly costEstimate: number;
    /** Number of upstreams that can run the request. */
    readonly eligibleCount: number;
    /** Number of eligible upstreams that are predicted to meet the latency target. */
    readonly meetingTargetCount: number;
}
