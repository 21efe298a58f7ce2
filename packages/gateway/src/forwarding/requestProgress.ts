import type { PlacementDecision } from "../placement/placementDecision";

/** How far a request has come. */
export interface RequestProgress {
    /** Sends to upstreams. */
    attempts: number;
    /** The last choice of an upstream, with what decided it. */
    placement: PlacementDecision | undefined;
    /** Monotonic time of the answer's first byte. */
    firstByteAtMs: number | undefined;
}
