import type { UpstreamId } from "@ibislanding/core";
import { advancePlan } from "./advancePlan";
import type { ServicePlan } from "./servicePlan";

/** Records that the platform started the host of an incarnation; an adopted entry of the same upstream goes. */
export const confirmStart = (plan: ServicePlan, incarnation: number, upstreamId: UpstreamId): ServicePlan =>
    advancePlan(plan, {
        ...plan,
        replicas: plan.replicas
            .filter(replica => replica.incarnation === incarnation || replica.upstreamId !== upstreamId)
            .map(replica => (replica.incarnation === incarnation ? { ...replica, upstreamId } : replica)),
    });
