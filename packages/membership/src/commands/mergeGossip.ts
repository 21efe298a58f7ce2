import type { Gossip } from "@ibislanding/protocol";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { mergeMembers } from "./mergeMembers";
import { mergeNoticesAndUsages } from "./mergeNoticesAndUsages";

/** Merges the updates of a received message. */
export const mergeGossip = (
    state: MembershipState,
    gossip: Gossip | undefined,
    context: TransitionContext,
): void => {
    if (gossip !== undefined) {
        mergeMembers(state, gossip.members, gossip.statuses, context);
        mergeNoticesAndUsages(state, gossip.notices, gossip.usages, context);
    }
};
