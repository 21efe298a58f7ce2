import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { setSlowness } from "./setSlowness";

/**
 * Detects that this process was paused, by how late its timer is. Probes of the time before prove nothing then, and
 * suspects get the time back in which their refutations could not be heard.
 */
export const correctAfterPause = (state: MembershipState, context: TransitionContext): void => {
    const { nowMs, policy } = context;
    const pausedMs = policy.pauseMs(nowMs - state.lastTickAtMs - policy.timing.tickMs, policy.timing);
    if (pausedMs <= 0) {
        return;
    }
    state.lastTickAtMs = nowMs;
    state.lastAnswerAtMs = nowMs;
    state.probes.clear();
    setSlowness(state, 2);
    [...state.members.values()].forEach(member => {
        member.unansweredSinceMs = undefined;
        member.stateSinceMs += member.state === "suspect" ? pausedMs : 0;
    });
};
