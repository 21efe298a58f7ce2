import type { ServiceName } from "@ibislanding/core";
import type { RolloutOrder } from "./rolloutOrder";
import type { RolloutState } from "./rolloutState";
import type { RolloutUpstream } from "./rolloutUpstream";
import type { VersionEvidence } from "./versionEvidence";

/** What a host knows of the rollout of one service. */
export interface GateKnowledge {
    readonly service: ServiceName;
    /** Undefined if there is none. */
    readonly order: RolloutOrder | undefined;
    /** Undefined if none is known, also if the entry can't be read. */
    readonly state: RolloutState | undefined;
    /** Time since the host last heard that the state is the current one. */
    readonly stateAgeMs: number;
    /** Sums over all hosts as known to this one, with its own current counters. */
    readonly evidence: readonly VersionEvidence[];
    /** All registered upstreams of the service. */
    readonly upstreams: readonly RolloutUpstream[];
    /** Cluster time. */
    readonly nowMs: number;
}
