import type { ResourceKind } from "@ibislanding/resources";
import type { AdminServices } from "../adminServices";
import type { ViewSource } from "./viewSource";

/** Reads the data from which the statuses of a kind's resources are derived; returns a lookup by resource name. */
export const readViewSources = async (
    services: AdminServices,
    kind: ResourceKind,
): Promise<(name: string) => ViewSource> => {
    const records = await services.statuses.listKind(kind);
    const reports = services.members.list();
    const times = services.conditionTimes;
    return name => ({ reports, times, record: records.ok ? records.val.get(name) : "unavailable" });
};
