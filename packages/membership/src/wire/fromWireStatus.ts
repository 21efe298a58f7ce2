import type { HostId, Revision } from "@ibislanding/core";
import { MemberState as WireMemberState, type MemberStatus } from "@ibislanding/protocol";
import type { MemberState } from "../model/memberState";
import type { ReceivedStatus } from "./receivedStatus";

const states: Partial<Readonly<Record<WireMemberState, MemberState>>> = {
    [WireMemberState.MEMBER_STATE_ALIVE]: "alive",
    [WireMemberState.MEMBER_STATE_SUSPECT]: "suspect",
    [WireMemberState.MEMBER_STATE_LEAVING]: "leaving",
    [WireMemberState.MEMBER_STATE_DEAD]: "dead",
};

/** Converts a received status; returns undefined if this version does not know its state. */
export const fromWireStatus = (status: MemberStatus, hostId: string): ReceivedStatus | undefined => {
    const state = states[status.state];
    return state === undefined ? undefined : {
        hostId: hostId as HostId,
        incarnation: status.incarnation,
        state,
        configurationRevision: status.configurationRevision as Revision,
        reportVersion: status.reportVersion,
        suspicionAgeMs: status.suspicionAgeMs,
    };
};
