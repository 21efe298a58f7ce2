import type { ServicePlan } from "./servicePlan";

/** Returns the next plan with an incremented generation, or the previous plan object when nothing changed. */
export const advancePlan = (previous: ServicePlan, next: ServicePlan): ServicePlan => {
    const candidate = { ...next, generation: previous.generation };
    return JSON.stringify(candidate) === JSON.stringify(previous)
        ? previous
        : { ...candidate, generation: previous.generation + 1 };
};
