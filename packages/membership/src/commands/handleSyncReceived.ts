import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { toWireMember } from "../wire/toWireMember";
import { toWireNotice } from "../wire/toWireNotice";
import { toWireUsage } from "../wire/toWireUsage";
import { mergeNoticesAndUsages } from "./mergeNoticesAndUsages";
import { mergeTable } from "./mergeTable";

/** Merges the member table and notices of a sync request, and responds with those of this process. */
export const handleSyncReceived = (
    state: MembershipState,
    { callId, request }: MembershipEvent & { type: "syncReceived"; },
    context: TransitionContext,
): void => {
    mergeTable(state, request.members, context);
    mergeNoticesAndUsages(state, request.notices, [], context);
    context.emit({
        type: "answerSync",
        callId,
        response: {
            hostId: state.self.hostId,
            members: [...state.members.values()].map(member => toWireMember(member, context.nowMs)),
            notices: [...state.notices.values()].map(toWireNotice),
            usages: [...state.usages.values()].map(toWireUsage),
        },
    });
};
