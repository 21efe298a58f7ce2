import { UpstreamNotice as WireUpstreamNotice } from "@ibislanding/protocol";
import type { UpstreamNotice } from "../model/upstreamNotice";
import { noticeExpiryMs } from "../queries/noticeExpiryMs";
import { noticeKeyOf } from "../queries/noticeKeyOf";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { toWireNotice } from "../wire/toWireNotice";
import { markChanged } from "./markChanged";

/** Observations of several hosts within this time count as one, so that they are spread once. */
const DEDUPLICATION_WINDOW_MS = 10_000;

const isRedundant = (known: UpstreamNotice, notice: UpstreamNotice): boolean => {
    const isEarlierDeadline = (notice.deadlineMs ?? Infinity) < (known.deadlineMs ?? Infinity);
    return notice.observedAtMs <= known.observedAtMs + DEDUPLICATION_WINDOW_MS && !isEarlierDeadline;
};

/** Takes over a notice that is new or says more than the known one, and queues it for the others. */
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
