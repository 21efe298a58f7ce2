import type { MembershipTiming } from "../model/membershipTiming";
import type { MembershipState } from "../state/membershipState";
import { usageSizeBytes } from "../wire/usageSizeBytes";

const MINIMUM_INTERVAL_MS = 1_000;

/** Returns the interval of usage reports at which everyone's reports fit into the bytes set aside for them. */
export const usageIntervalMs = (state: MembershipState, timing: MembershipTiming): number => {
    const totalBytes = [...state.usages.values()].reduce((sum, report) => sum + usageSizeBytes(report), 0);
    const messagesPerPeriod = 2 * (timing.ringTargetCount + timing.randomTargetCount);
    const bytesPerMs = messagesPerPeriod * timing.usageBudgetBytes / timing.probeIntervalMs;
    return Math.max(MINIMUM_INTERVAL_MS, totalBytes * timing.maximumUsageSends / bytesPerMs);
};
