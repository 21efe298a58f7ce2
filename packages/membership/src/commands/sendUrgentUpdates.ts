import { isReachable } from "../queries/isReachable";
import { sampleOf } from "../queries/sampleOf";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { sendProbes } from "./sendProbes";

/** Probes a few random members immediately if urgent updates are queued, within a rate limit. */
export const sendUrgentUpdates = (state: MembershipState, context: TransitionContext): void => {
    const { nowMs, random, policy: { timing } } = context;
    if (!state.hasUrgentUpdates || nowMs < state.nextUrgentSendAtMs) {
        return;
    }
    state.hasUrgentUpdates = false;
    state.nextUrgentSendAtMs = nowMs + timing.urgentIntervalMs;
    const others = [...state.members.values()].filter(member => isReachable(state, member));
    sendProbes(state, sampleOf(others, timing.urgentTargetCount, random), context);
};
