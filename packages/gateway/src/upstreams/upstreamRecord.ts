import type { AvailabilityZone, ServiceName, SoftwareVersion, UpstreamId } from "@ibislanding/core";
import type { UpstreamAddress } from "./upstreamAddress";

/** Registration of an upstream. */
export interface UpstreamRecord {
    readonly upstreamId: UpstreamId;
    /**
     * Start time of the upstream's process, in milliseconds since the Unix epoch; identifies the process after a
     * restart.
     */
    readonly startedAtMs: number;
    readonly service: ServiceName;
    /** Version of its software; what two versions write does not fit together. */
    readonly softwareVersion: SoftwareVersion;
    readonly address: UpstreamAddress;
    readonly availabilityZone: AvailabilityZone;
    /** Maximum number of concurrent requests. */
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Whether the platform may reclaim the upstream. */
    readonly isReclaimable: boolean;
    /** Time until the upstream terminates, if it announced one. */
    readonly leavesInMs: number | undefined;
}
