import type { FeatureId } from "@ibislanding/quarantine";
import type { PlacementDecision } from "../placement/placementDecision";
import type { ReceivedBody } from "./receivedBody";

/** Progress of a request, for its log line. */
export interface RequestProgress {
    /** Number of attempts at upstreams. */
    attempts: number;
    /** The last placement decision, with its inputs. */
    placement: PlacementDecision | undefined;
    /** Monotonic time of the first byte of the response body. */
    firstByteAtMs: number | undefined;
    /** Body of the last response that was relayed. */
    received: ReceivedBody | undefined;
    /** Events of a stream that all attempts have brought. */
    events: number;
    /** Quarantined feature for which the request was refused. */
    quarantinedFeature: FeatureId | undefined;
}
