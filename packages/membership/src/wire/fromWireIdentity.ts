import type { AvailabilityZone, HostId, Region } from "@ibislanding/core";
import type { Member as WireMember, PeerAddress } from "@ibislanding/protocol";
import type { MemberIdentity } from "../model/memberIdentity";

/** Converts the immutable part of a received member. */
export const fromWireIdentity = (member: WireMember): MemberIdentity => ({
    hostId: member.hostId as HostId,
    address: member.address as PeerAddress,
    role: member.role,
    region: member.region as Region,
    availabilityZone: member.availabilityZone as AvailabilityZone,
});
