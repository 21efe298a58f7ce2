import type { EvidenceSeries } from "./evidenceSeries";
import type { RolloutBounds } from "./rolloutBounds";
import type { RolloutOrder } from "./rolloutOrder";
import type { RolloutState } from "./rolloutState";
import type { RolloutUpstream } from "./rolloutUpstream";

/** What the duty holder knows when it advances a rollout. */
export interface RolloutProgress {
    /** Stored state of the service, also that of an earlier order; undefined if there is none. */
    readonly state: RolloutState | undefined;
    readonly order: RolloutOrder;
    /** Whether the configuration has the service. */
    readonly hasService: boolean;
    readonly evidence: EvidenceSeries;
    /** All registered upstreams of the service. */
    readonly upstreams: readonly RolloutUpstream[];
    /** Requests that run on versions other than the target, over all hosts. */
    readonly oldStreams: number;
    readonly bounds: RolloutBounds;
    /** Cluster time. */
    readonly nowMs: number;
}
