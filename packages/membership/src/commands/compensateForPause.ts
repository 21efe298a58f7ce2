import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { adjustSlowness } from "./adjustSlowness";

/**
 * Detects a pause of this process by the delay of its timer. Pending probes are discarded, because their timeouts prove
 * nothing after a pause, and suspicions are extended by the pause, in which no refutation could be received.
 */
export const compensateForPause = (state: MembershipState, context: TransitionContext): void => {
    const { nowMs, policy } = context;
    const pausedMs = policy.pauseMs(nowMs - state.lastTickAtMs - policy.timing.tickIntervalMs, policy.timing);
    if (pausedMs <= 0) {
        return;
    }
    state.lastTickAtMs = nowMs;
    state.lastResponseAtMs = nowMs;
    state.probes.clear();
    adjustSlowness(state, 2);
    [...state.members.values()].forEach(member => {
        member.unansweredSinceMs = undefined;
        member.stateSinceMs += member.state === "suspect" ? pausedMs : 0;
    });
};
