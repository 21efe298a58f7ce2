import type { Member } from "../model/member";
import type { MemberRecord } from "../state/memberRecord";

/** Returns an immutable copy of an entry of the member table. */
export const toMember = (record: MemberRecord): Member => ({
    hostId: record.hostId,
    address: record.address,
    role: record.role,
    region: record.region,
    availabilityZone: record.availabilityZone,
    incarnation: record.incarnation,
    state: record.state,
    configurationRevision: record.configurationRevision,
    reportVersion: record.reportVersion,
});
