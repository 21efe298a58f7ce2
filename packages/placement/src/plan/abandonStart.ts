import { advancePlan } from "./advancePlan";
import type { ServicePlan } from "./servicePlan";

/**
 * Removes an incarnation whose start the platform refused, so that another choice can be tried; a confirmed start is
 * kept.
 */
export const abandonStart = (plan: ServicePlan, incarnation: number): ServicePlan =>
    advancePlan(plan, {
        ...plan,
        replicas: plan.replicas.filter(replica =>
            replica.incarnation !== incarnation || replica.upstreamId !== undefined
        ),
    });
