import type { Revision } from "@ibislanding/core";
import type { MachineClassSpec, PlacementSpec } from "@ibislanding/resources";
import type { DesiredAdapter } from "./desiredAdapter";
import type { DesiredModel } from "./desiredModel";
import type { ObservedUpstream } from "./observedUpstream";
import type { PlacementPolicy } from "./placementPolicy";
import type { ServiceDemand } from "./serviceDemand";
import type { ServicePlan } from "./servicePlan";

/** Input of `planPlacement` for one service. */
export interface PlacementInput {
    readonly nowMs: number;
    /** Revision of the configuration that declares the resources. */
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
    /** Peak of the recent demand; undefined until the observed period is long enough, which prevents scale-in. */
    readonly recentPeakDemand: ServiceDemand | undefined;
    /** Keys of the choices whose starts were refused and whose backoff has not elapsed. */
    readonly refusedChoiceKeys: ReadonlySet<string>;
    readonly policy: PlacementPolicy;
}
