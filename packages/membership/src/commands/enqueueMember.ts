import { Member as WireMember, MemberStatus } from "@ibislanding/protocol";
import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";
import { toWireMember } from "../wire/toWireMember";
import { toWireStatus } from "../wire/toWireStatus";

/** Queues a member to be sent to other members, either in full or its status only. */
export const enqueueMember = (state: MembershipState, record: MemberRecord, includesIdentity: boolean): void => {
    const sizeBytes = includesIdentity
        ? WireMember.encode(toWireMember(record, 0)).finish().length
        : MemberStatus.encode(toWireStatus(record, 0)).finish().length;
    state.queue.put(includesIdentity ? "member" : "status", record.hostId, sizeBytes);
};
