import { MemberState as WireMemberState, type MemberStatus } from "@ibislanding/protocol";
import type { MemberState } from "../model/memberState";
import type { MemberRecord } from "../state/memberRecord";

const wireStates: Readonly<Record<MemberState, WireMemberState>> = {
    alive: WireMemberState.MEMBER_STATE_ALIVE,
    suspect: WireMemberState.MEMBER_STATE_SUSPECT,
    leaving: WireMemberState.MEMBER_STATE_LEAVING,
    dead: WireMemberState.MEMBER_STATE_DEAD,
};

/** Converts the variable part of a member to its message. */
export const toWireStatus = (record: MemberRecord, nowMs: number): MemberStatus => ({
    hostId: record.hostId,
    incarnation: record.incarnation,
    state: wireStates[record.state],
    configurationRevision: record.configurationRevision,
    reportVersion: record.reportVersion,
    suspicionAgeMs: record.state === "suspect" ? Math.max(0, Math.round(nowMs - record.stateSinceMs)) : 0,
});
