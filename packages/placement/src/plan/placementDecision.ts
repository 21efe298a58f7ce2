import type { PlacementConditions } from "./placementConditions";
import type { ServicePlan } from "./servicePlan";

/** Outcome of a decision about one service. */
export interface PlacementDecision {
    /** Next plan; it must be stored by compare-and-swap before any of its orders is sent. */
    readonly plan: ServicePlan;
    readonly conditions: PlacementConditions;
}
