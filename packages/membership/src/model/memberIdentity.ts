import type { AvailabilityZone, HostId, Region } from "@ibislanding/core";
import type { PeerAddress } from "@ibislanding/protocol";

/** Immutable attributes of a process of the system. */
export interface MemberIdentity {
    readonly hostId: HostId;
    /** Address of the internal gRPC listener. */
    readonly address: PeerAddress;
    readonly role: string;
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
}
