import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import type { ReceivedStatus } from "../wire/receivedStatus";
import { adjustSlowness } from "./adjustSlowness";
import { enqueueMember } from "./enqueueMember";
import { markChanged } from "./markChanged";

/** Raises the incarnation of this process to refute a report that it is suspect or dead, unless that is outdated. */
export const refute = (state: MembershipState, status: ReceivedStatus, context: TransitionContext): void => {
    const { self } = state;
    const isReportedFailed = status.state === "suspect" || status.state === "dead";
    if (!isReportedFailed || status.incarnation < self.incarnation) {
        return;
    }
    self.incarnation = context.policy.refutingIncarnation(status.incarnation);
    adjustSlowness(state, 1);
    state.hasUrgentUpdates = true;
    enqueueMember(state, self, true);
    markChanged(state, context);
};
