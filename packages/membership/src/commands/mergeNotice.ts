import { UpstreamNotice as WireUpstreamNotice } from "@ibislanding/protocol";
import type { UpstreamNotice } from "../model/upstreamNotice";
import { noticeExpiryMs } from "../queries/noticeExpiryMs";
import { noticeKeyOf } from "../queries/noticeKeyOf";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { toWireNotice } from "../wire/toWireNotice";
import { markChanged } from "./markChanged";

/** Observations by several hosts within this time are treated as one, so that the notice spreads only once. */
const DEDUPLICATION_WINDOW_MS = 10_000;

const isRedundant = (known: UpstreamNotice, notice: UpstreamNotice): boolean => {
    const isEarlierDeadline = (notice.deadlineMs ?? Infinity) < (known.deadlineMs ?? Infinity);
    return notice.observedAtMs <= known.observedAtMs + DEDUPLICATION_WINDOW_MS && !isEarlierDeadline;
};

/** Stores and queues a notice, unless it is expired or adds nothing to the known one. */
export const mergeNotice = (state: MembershipState, notice: UpstreamNotice, context: TransitionContext): void => {
    const key = noticeKeyOf(notice);
    const known = state.notices.get(key);
    const isExpired = noticeExpiryMs(notice, context.policy.timing) <= context.wallMs;
    if (isExpired || (known !== undefined && isRedundant(known, notice))) {
        return;
    }
    state.notices.set(key, notice);
    state.queue.put("notice", key, WireUpstreamNotice.encode(toWireNotice(notice)).finish().length);
    state.hasUrgentUpdates = true;
    markChanged(state, context);
};
