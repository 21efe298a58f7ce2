import type { PlacementConditions, ServicePlan } from "@ibislanding/placement";

/** Brings one service to its declared placement while the lease is held. */
export interface ServiceController {
    /** Decides, stores the plan and sends the orders that follow from it. */
    readonly reconcile: () => Promise<void>;
    /** The plan as last confirmed while the lease was held. */
    readonly plan: () => ServicePlan | undefined;
    readonly conditions: () => PlacementConditions | undefined;
}
