import type { PlacementConditions } from "./placementConditions";
import type { ServicePlan } from "./servicePlan";

/** Result of `planPlacement` for one service. */
export interface PlacementDecision {
    /** Next plan; it must be stored by compare-and-swap before any of its orders are sent. */
    readonly plan: ServicePlan;
    readonly conditions: PlacementConditions;
}
