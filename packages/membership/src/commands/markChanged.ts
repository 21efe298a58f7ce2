import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";

/** Notes that the member table or the notices changed. */
export const markChanged = (state: MembershipState, context: TransitionContext): void => {
    state.version++;
    state.changedAtMs = context.nowMs;
    state.digest = undefined;
};
