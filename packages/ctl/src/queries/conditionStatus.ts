import type { ResourceResponse } from "../client/resourceResponse";

/** Returns the status of a condition; `Unknown` when the resource does not have it. */
export const conditionStatus = (resource: ResourceResponse, type: string): string =>
    resource.status.conditions.find(condition => condition.type === type)?.status ?? "Unknown";
