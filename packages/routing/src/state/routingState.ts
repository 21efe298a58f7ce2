import type { Hasher, UpstreamId } from "@ibislanding/core";
import type { MachineClassSpec } from "@ibislanding/resources";
import type { RoutingOptions } from "../model/routingOptions";
import type { UpstreamState } from "./upstreamState";

/** Knowledge of one router; changed only by `applyRoutingEvent` and the selections' own counters. */
export interface RoutingState {
    readonly options: RoutingOptions;
    readonly hasher: Hasher;
    readonly upstreams: Map<UpstreamId, UpstreamState>;
    machineClasses: Readonly<Record<string, MachineClassSpec>>;
    entryHostCount: number;
    /** Mean time that a sequence holds a slot, by service. */
    readonly meanSequenceMs: Map<string, number>;
    /** Position of the round-robin policy, by service. */
    readonly roundRobinPositions: Map<string, number>;
}
