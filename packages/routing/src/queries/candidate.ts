import type { UpstreamState } from "../state/upstreamState";

/** An upstream that can run a request, with the predicted latency and cost of the request there. */
export interface Candidate {
    readonly upstream: UpstreamState;
    readonly cachedTokens: number;
    /** Estimated number of running and queued sequences at the upstream. */
    readonly sequences: number;
    readonly predictedFirstTokenMs: number;
    /** Predicted time to first token on the same upstream without other load. */
    readonly idleFirstTokenMs: number;
    readonly costEstimate: number;
}
