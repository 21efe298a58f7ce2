import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import type { ReceivedStatus } from "../wire/receivedStatus";
import { adjustSlowness } from "./adjustSlowness";
import { enqueueMember } from "./enqueueMember";
import { markChanged } from "./markChanged";

/** Refutes a report that this process is suspect or dead, by a higher incarnation. */
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
