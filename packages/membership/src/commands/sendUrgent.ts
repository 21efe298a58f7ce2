import { isReachable } from "../queries/isReachable";
import { sampleOf } from "../queries/sampleOf";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { sendProbes } from "./sendProbes";

/** Sends new notices at once to a few members, within the rate allowed for it. */
export const sendUrgent = (state: MembershipState, context: TransitionContext): void => {
    const { nowMs, random, policy: { timing } } = context;
    if (!state.isUrgent || nowMs < state.nextUrgentAtMs) {
        return;
    }
    state.isUrgent = false;
    state.nextUrgentAtMs = nowMs + timing.urgentMs;
    const others = [...state.members.values()].filter(member => isReachable(state, member));
    sendProbes(state, sampleOf(others, timing.urgentTargets, random), context);
};
