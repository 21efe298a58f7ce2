import type { Member as WireMember } from "@ibislanding/protocol";
import type { MemberRecord } from "../state/memberRecord";
import { toWireStatus } from "./toWireStatus";

/** Converts a member to its message; the host ID is left empty in the nested status. */
export const toWireMember = (record: MemberRecord, nowMs: number): WireMember => ({
    hostId: record.hostId,
    address: record.address,
    role: record.role,
    region: record.region,
    availabilityZone: record.availabilityZone,
    status: { ...toWireStatus(record, nowMs), hostId: "" },
});
