import type { UpstreamState } from "../state/upstreamState";

/** An upstream that may take a request, with what is predicted for the request there. */
export interface Candidate {
    readonly upstream: UpstreamState;
    readonly cachedTokens: number;
    /** Estimated sequences of the upstream, queued ones included. */
    readonly sequences: number;
    readonly predictedFirstTokenMs: number;
    /** Predicted first-token time on the same upstream without other load. */
    readonly idleFirstTokenMs: number;
    readonly costEstimate: number;
}
