import type { ResourceResponse } from "../client/resourceResponse";

/** Returns the status of a condition of a resource. */
export const conditionStatus = (resource: ResourceResponse, type: string): string =>
    resource.status.conditions.find(condition => condition.type === type)?.status ?? "Unknown";
