import type { Hasher, UpstreamId } from "@ibislanding/core";
import type { MachineClassSpec } from "@ibislanding/resources";
import type { RoutingOptions } from "../model/routingOptions";
import type { UpstreamState } from "./upstreamState";

/** State of one router; mutated only by `applyRoutingEvent`, except for the positions of the round-robin policy. */
export interface RoutingState {
    readonly options: RoutingOptions;
    readonly hasher: Hasher;
    readonly upstreams: Map<UpstreamId, UpstreamState>;
    machineClasses: Readonly<Record<string, MachineClassSpec>>;
    entryHostCount: number;
    /** Mean time that a sequence occupies a slot, by service. */
    readonly meanSequenceMs: Map<string, number>;
    /** Next position of the round-robin policy, by service. */
    readonly roundRobinPositions: Map<string, number>;
}
