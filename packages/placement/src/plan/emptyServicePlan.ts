import type { Revision } from "@ibislanding/core";
import type { ServicePlan } from "./servicePlan";

/** Creates the plan of a service before its first change. */
export const emptyServicePlan = (service: string): ServicePlan => ({
    service,
    generation: 0,
    revision: 0 as Revision,
    lastIncarnation: 0,
    replicas: [],
    models: [],
    adapters: [],
});
