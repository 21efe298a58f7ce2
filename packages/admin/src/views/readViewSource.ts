import type { ResourceKind } from "@ibislanding/resources";
import type { AdminServices } from "../adminServices";
import type { ViewSource } from "./viewSource";

/** Reads the data from which the status of one resource is derived. */
export const readViewSource = async (
    services: AdminServices,
    kind: ResourceKind,
    name: string,
): Promise<ViewSource> => {
    const record = await services.statuses.find(kind, name);
    return {
        reports: services.members.list(),
        times: services.conditionTimes,
        record: record.ok ? record.val : "unavailable",
    };
};
