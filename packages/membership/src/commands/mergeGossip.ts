import type { Gossip } from "@ibislanding/protocol";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { mergeFacts } from "./mergeFacts";
import { mergeMembers } from "./mergeMembers";

/** Takes over the updates of a message. */
export const mergeGossip = (
    state: MembershipState,
    gossip: Gossip | undefined,
    context: TransitionContext,
): void => {
    if (gossip !== undefined) {
        mergeMembers(state, gossip.members, gossip.statuses, context);
        mergeFacts(state, gossip.notices, gossip.usages, context);
    }
};
