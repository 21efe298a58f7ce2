import type { AvailabilityZone, HostId, Region } from "@ibislanding/core";

/** One host of the system itself as the host list shows it. */
export interface SystemHostRecord {
    readonly hostId: HostId;
    /** Address of the internal gRPC listener, `ip:port`. */
    readonly address: string;
    readonly role: string;
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
}
