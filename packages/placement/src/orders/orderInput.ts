import type { ObservedUpstream } from "../plan/observedUpstream";
import type { PlacementPolicy } from "../plan/placementPolicy";
import type { ServicePlan } from "../plan/servicePlan";

/** What the orders of one service are derived from. */
export interface OrderInput {
    /** Wall-clock time, as in the plan. */
    readonly nowMs: number;
    readonly monotonicMs: number;
    /** The plan as stored and confirmed. */
    readonly plan: ServicePlan;
    readonly upstreams: readonly ObservedUpstream[];
    /** Role that every engine should have, if one is declared. */
    readonly role: string | undefined;
    /** Monotonic times at which orders were last sent, by effect key. */
    readonly sentAtMs: ReadonlyMap<string, number>;
    /** Monotonic time before which the weight store takes no further loads. */
    readonly loadsNotBeforeMs: number;
    readonly policy: PlacementPolicy;
    /** Names the start operation of an incarnation. */
    readonly operationIdOf: (service: string, incarnation: number) => string;
}
