import { noticeExpiryMs } from "../queries/noticeExpiryMs";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { markChanged } from "./markChanged";
import { setMemberState } from "./setMemberState";

/** Declares members dead whose suspicion timed out, and removes expired dead members and notices. */
export const expireEntries = (state: MembershipState, context: TransitionContext): void => {
    const { nowMs, wallMs, policy: { timing } } = context;
    [...state.members.values()]
        .filter(member => member.state === "suspect" && nowMs - member.stateSinceMs >= timing.suspicionTimeoutMs)
        .forEach(member => setMemberState(state, member, "dead", nowMs, context));
    [...state.members.values()]
        .filter(member => member.state === "dead" && nowMs - member.stateSinceMs >= timing.deadRetentionMs)
        .forEach(member => state.members.delete(member.hostId));
    const expiredNotices = [...state.notices].filter(([, notice]) => noticeExpiryMs(notice, timing) <= wallMs);
    expiredNotices.forEach(([key]) => state.notices.delete(key));
    if (expiredNotices.length > 0) {
        markChanged(state, context);
    }
};
