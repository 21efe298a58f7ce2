import type { ServicePlan } from "@ibislanding/placement";

/** A plan with the version of its key in the key-value service. */
export interface StoredPlan {
    readonly plan: ServicePlan;
    /** Version of the key; 0 when it doesn't exist. */
    readonly version: number;
}
