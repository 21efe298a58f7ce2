import type { Revision } from "@ibislanding/core";
import type { ServicePlan } from "./servicePlan";

/** Creates the initial plan of a service, with generation 0 and without replicas. */
export const emptyServicePlan = (service: string): ServicePlan => ({
    service,
    generation: 0,
    revision: 0 as Revision,
    lastIncarnation: 0,
    replicas: [],
    models: [],
    adapters: [],
});
