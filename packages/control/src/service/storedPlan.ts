import type { ServicePlan } from "@ibislanding/placement";

/** A plan as it is known to be stored. */
export interface StoredPlan {
    readonly plan: ServicePlan;
    /** Version of the key; 0 when it doesn't exist. */
    readonly version: number;
}
