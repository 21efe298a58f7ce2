import type { EvidenceSeries } from "./evidenceSeries";
import type { RolloutBounds } from "./rolloutBounds";
import type { RolloutState } from "./rolloutState";

/** What a host knows when it determines the share of a target. */
export interface ShareKnowledge {
    /** Undefined if the host knows only the order. */
    readonly state: RolloutState | undefined;
    /** Time since the host last heard that the state is the current one. */
    readonly stateAgeMs: number;
    readonly evidence: EvidenceSeries;
    readonly bounds: RolloutBounds;
    /** Cluster time. */
    readonly nowMs: number;
}
