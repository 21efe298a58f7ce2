import type { ResourceAnswer } from "../client/resourceAnswer";

/** Returns the status of a condition of a resource. */
export const conditionStatus = (resource: ResourceAnswer, type: string): string =>
    resource.status.conditions.find(condition => condition.type === type)?.status ?? "Unknown";
