import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { adjustSlowness } from "./adjustSlowness";

/**
 * Detects that this process was paused, by how late its timer is. Probes of the time before prove nothing then, and
 * suspects get the time back in which their refutations could not be heard.
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
