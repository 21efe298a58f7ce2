import type { Revision } from "@ibislanding/core";
import type { MachineClassSpec, PlacementSpec } from "@ibislanding/resources";
import type { DesiredAdapter } from "./desiredAdapter";
import type { DesiredModel } from "./desiredModel";
import type { ObservedUpstream } from "./observedUpstream";
import type { PlacementPolicy } from "./placementPolicy";
import type { ServiceDemand } from "./serviceDemand";
import type { ServicePlan } from "./servicePlan";

/** What a decision about one service is made from. */
export interface PlacementInput {
    readonly nowMs: number;
    /** Revision of the configuration that the declared resources are from. */
    readonly revision: Revision;
    readonly placement: PlacementSpec;
    readonly machineClasses: ReadonlyMap<string, MachineClassSpec>;
    readonly models: readonly DesiredModel[];
    readonly adapters: readonly DesiredAdapter[];
    readonly plan: ServicePlan;
    readonly upstreams: readonly ObservedUpstream[];
    /** Deadlines of announced reclaims, by upstream id. */
    readonly reclaimDeadlinesMs: ReadonlyMap<string, number>;
    readonly demand: ServiceDemand;
    /** Highest demand of the recent past; undefined until enough of it was seen, which rules out scale-in. */
    readonly recentPeakDemand: ServiceDemand | undefined;
    /** Keys of choices whose starts were refused and are backing off. */
    readonly refusedChoiceKeys: ReadonlySet<string>;
    readonly policy: PlacementPolicy;
}
