import type { Member as WireMember, MemberStatus } from "@ibislanding/protocol";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { fromWireIdentity } from "../wire/fromWireIdentity";
import { fromWireStatus } from "../wire/fromWireStatus";
import { mergeStatus } from "./mergeStatus";

/** Merges received members, either in full or their statuses only. */
export const mergeMembers = (
    state: MembershipState,
    members: readonly WireMember[],
    statuses: readonly MemberStatus[],
    context: TransitionContext,
): void => {
    members.forEach(member => {
        const status = member.status === undefined ? undefined : fromWireStatus(member.status, member.hostId);
        if (status !== undefined) {
            mergeStatus(state, status, fromWireIdentity(member), context);
        }
    });
    statuses.forEach(wireStatus => {
        const status = fromWireStatus(wireStatus, wireStatus.hostId);
        if (status !== undefined) {
            mergeStatus(state, status, undefined, context);
        }
    });
};
