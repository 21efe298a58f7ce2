import type { ObservedUpstream } from "../plan/observedUpstream";
import type { PlacementPolicy } from "../plan/placementPolicy";
import type { ServicePlan } from "../plan/servicePlan";

/** Input from which `planOrders` derives the orders of one service. */
export interface OrderInput {
    /** Wall-clock time, for comparison with the times in the plan. */
    readonly nowMs: number;
    readonly monotonicMs: number;
    /** The plan whose storage is confirmed. */
    readonly plan: ServicePlan;
    readonly upstreams: readonly ObservedUpstream[];
    /** Role that every engine should have; undefined when none is declared. */
    readonly role: string | undefined;
    /** Monotonic times at which orders were last sent, by order key. */
    readonly sentAtMs: ReadonlyMap<string, number>;
    /** Monotonic time before which no loads are ordered, because the weight store refused one. */
    readonly loadsNotBeforeMs: number;
    readonly policy: PlacementPolicy;
    /** Returns the id of the start operation of an incarnation. */
    readonly operationIdOf: (service: string, incarnation: number) => string;
}
