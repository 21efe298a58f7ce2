import type { AvailabilityZone, HostId, Region } from "@ibislanding/core";

/** Record of one of this system's own hosts in the host list. */
export interface SystemHostRecord {
    readonly hostId: HostId;
    /** Address of the internal gRPC listener, `ip:port`. */
    readonly address: string;
    readonly role: string;
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
}
