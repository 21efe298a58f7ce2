import { usageIntervalMs } from "../queries/usageIntervalMs";
import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { usageSizeBytes } from "../wire/usageSizeBytes";

/** Stores and queues the usage report of this process; skipped while the byte budget allows no further report. */
export const handleUsagesPublished = (
    state: MembershipState,
    { report }: MembershipEvent & { type: "usagesPublished"; },
    context: TransitionContext,
): void => {
    const { nowMs, policy } = context;
    const sinceMs = nowMs - (state.usagePublishedAtMs ?? -Infinity);
    if (sinceMs >= usageIntervalMs(state, policy.timing)) {
        state.usages.set(state.self.hostId, report);
        state.usagePublishedAtMs = nowMs;
        state.queue.put("usage", report.hostId, usageSizeBytes(report));
    }
};
