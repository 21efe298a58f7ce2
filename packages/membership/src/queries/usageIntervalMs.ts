import type { MembershipTiming } from "../model/membershipTiming";
import type { MembershipState } from "../state/membershipState";
import { usageSizeBytes } from "../wire/usageSizeBytes";

const LEAST_INTERVAL_MS = 1_000;

/** Returns the interval of usage reports at which everyone's reports fit into the bytes set aside for them. */
export const usageIntervalMs = (state: MembershipState, timing: MembershipTiming): number => {
    const sizesBytes = [...state.usages.values()].reduce((sum, report) => sum + usageSizeBytes(report), 0);
    const messagesPerPeriod = 2 * (timing.ringTargets + timing.randomTargets);
    const bytesPerMs = messagesPerPeriod * timing.usageBytes / timing.periodMs;
    return Math.max(LEAST_INTERVAL_MS, sizesBytes * timing.usageSends / bytesPerMs);
};
