import type { PlacementConditions, ServicePlan } from "@ibislanding/placement";

/** Reconciles one service with its declared placement while the lease is held. */
export interface ServiceController {
    /** Computes the next plan, stores it and sends the resulting orders. */
    readonly reconcile: () => Promise<void>;
    /** The plan as last read or stored under the current lease. */
    readonly plan: () => ServicePlan | undefined;
    readonly conditions: () => PlacementConditions | undefined;
}
