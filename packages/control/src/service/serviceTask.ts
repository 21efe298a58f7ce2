import type { LeaseGrant, PlacementConditions, ServicePlan } from "@ibislanding/placement";

/** Contends for the lease of one service and controls the service while it holds it. */
export interface ServiceTask extends AsyncDisposable {
    readonly holdsLease: () => boolean;
    /** Reconciles without waiting for the end of the interval. */
    readonly trigger: () => void;
    readonly stateDump: () => {
        readonly grant: LeaseGrant | undefined;
        readonly conditions: PlacementConditions | undefined;
        readonly plan: ServicePlan | undefined;
    };
}
