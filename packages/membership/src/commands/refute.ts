import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import type { ReceivedStatus } from "../wire/receivedStatus";
import { enqueueMember } from "./enqueueMember";
import { markChanged } from "./markChanged";
import { setSlowness } from "./setSlowness";

/** Answers a suspicion of this process with a higher incarnation. */
export const refute = (state: MembershipState, status: ReceivedStatus, context: TransitionContext): void => {
    const { self } = state;
    const isAccused = status.state === "suspect" || status.state === "dead";
    if (!isAccused || status.incarnation < self.incarnation) {
        return;
    }
    self.incarnation = context.policy.refutingIncarnation(status.incarnation);
    setSlowness(state, 1);
    state.isUrgent = true;
    enqueueMember(state, self, true);
    markChanged(state, context);
};
