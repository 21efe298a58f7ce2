import type { PlacementDecision } from "../placement/placementDecision";

/** Progress of a request, for its log line. */
export interface RequestProgress {
    /** Number of attempts at upstreams. */
    attempts: number;
    /** The last placement decision, with its inputs. */
    placement: PlacementDecision | undefined;
    /** Monotonic time of the first byte of the response body. */
    firstByteAtMs: number | undefined;
}
