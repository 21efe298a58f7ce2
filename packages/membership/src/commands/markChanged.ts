import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";

/** Records a change of the member table or the notices, which notifies subscribers and invalidates the digest. */
export const markChanged = (state: MembershipState, context: TransitionContext): void => {
    state.version++;
    state.changedAtMs = context.nowMs;
    state.digest = undefined;
};
