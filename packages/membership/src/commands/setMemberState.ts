import type { MemberState } from "../model/memberState";
import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { enqueueMember } from "./enqueueMember";
import { markChanged } from "./markChanged";

/** States that are sent to other members ahead of the next probe round. */
const urgentStates: readonly MemberState[] = ["suspect", "leaving"];

/** Changes the state of a member and queues the change to be sent to other members. */
export const setMemberState = (
    state: MembershipState,
    record: MemberRecord,
    nextState: MemberState,
    sinceMs: number,
    context: TransitionContext,
): void => {
    const wasDead = record.state === "dead";
    record.state = nextState;
    record.stateSinceMs = sinceMs;
    state.hasUrgentUpdates ||= urgentStates.includes(nextState);
    if (nextState === "dead") {
        state.usages.delete(record.hostId);
    }
    enqueueMember(state, record, wasDead);
    markChanged(state, context);
};
