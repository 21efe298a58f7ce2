import type { MembershipTiming } from "../model/membershipTiming";
import type { MembershipState } from "../state/membershipState";
import { usageSizeBytes } from "../wire/usageSizeBytes";

const MINIMUM_INTERVAL_MS = 1_000;

/** Returns the interval between usage reports at which the reports of all members fit into the byte budget. */
export const usageIntervalMs = (state: MembershipState, timing: MembershipTiming): number => {
    const totalBytes = [...state.usages.values()].reduce((sum, report) => sum + usageSizeBytes(report), 0);
    const messagesPerProbeInterval = 2 * (timing.ringTargetCount + timing.randomTargetCount);
    const bytesPerMs = messagesPerProbeInterval * timing.usageBudgetBytes / timing.probeIntervalMs;
    return Math.max(MINIMUM_INTERVAL_MS, totalBytes * timing.maximumUsageSends / bytesPerMs);
};
