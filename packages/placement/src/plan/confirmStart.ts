import type { UpstreamId } from "@ibislanding/core";
import { advancePlan } from "./advancePlan";
import type { ServicePlan } from "./servicePlan";

/** Records the upstream that was started for an incarnation; removes an adopted replica with the same upstream. */
export const confirmStart = (plan: ServicePlan, incarnation: number, upstreamId: UpstreamId): ServicePlan =>
    advancePlan(plan, {
        ...plan,
        replicas: plan.replicas
            .filter(replica => replica.incarnation === incarnation || replica.upstreamId !== upstreamId)
            .map(replica => (replica.incarnation === incarnation ? { ...replica, upstreamId } : replica)),
    });
