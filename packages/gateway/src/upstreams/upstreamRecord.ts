import type { AvailabilityZone, ServiceName, UpstreamId } from "@ibislanding/core";
import type { UpstreamAddress } from "./upstreamAddress";

/** An upstream as it registered itself. */
export interface UpstreamRecord {
    readonly upstreamId: UpstreamId;
    /** Start of the upstream's process, milliseconds since the Unix epoch; another start is another process. */
    readonly startedAtMs: number;
    readonly service: ServiceName;
    readonly address: UpstreamAddress;
    readonly availabilityZone: AvailabilityZone;
    /** Requests that it runs at once. */
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Whether the platform may reclaim it. */
    readonly isReclaimable: boolean;
    /** Time until it is gone, if it said so. */
    readonly leavesInMs: number | undefined;
}
