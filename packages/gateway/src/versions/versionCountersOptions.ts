import type { Clock, ServiceName } from "@ibislanding/core";
import type { UpstreamTable } from "../upstreams/upstreamTable";

/** Dependencies of version counters. */
export interface VersionCountersOptions {
    readonly clock: Clock;
    readonly upstreams: Pick<UpstreamTable, "isDeparting" | "isLeaving" | "hasCrashed">;
    /** Whether a service is counted; it stays so once it is. */
    readonly isCounted: (service: ServiceName) => boolean;
}
