import { noticeExpiryMs } from "../queries/noticeExpiryMs";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { markChanged } from "./markChanged";
import { setMemberState } from "./setMemberState";

/** Declares members dead whose suspicion lasted too long, and forgets old dead members and notices. */
export const expire = (state: MembershipState, context: TransitionContext): void => {
    const { nowMs, wallMs, policy: { timing } } = context;
    [...state.members.values()]
        .filter(member => member.state === "suspect" && nowMs - member.stateSinceMs >= timing.suspicionMs)
        .forEach(member => setMemberState(state, member, "dead", nowMs, context));
    [...state.members.values()]
        .filter(member => member.state === "dead" && nowMs - member.stateSinceMs >= timing.forgetDeadMs)
        .forEach(member => state.members.delete(member.hostId));
    const expired = [...state.notices].filter(([, notice]) => noticeExpiryMs(notice, timing) <= wallMs);
    expired.forEach(([key]) => state.notices.delete(key));
    if (expired.length > 0) {
        markChanged(state, context);
    }
};
