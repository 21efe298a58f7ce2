import type { MembershipTiming } from "./membershipTiming";

/** Values used in production. */
export const defaultMembershipTiming: MembershipTiming = {
    tickIntervalMs: 250,
    probeIntervalMs: 500,
    directProbeTimeoutMs: 400,
    indirectProbeTimeoutMs: 700,
    suspicionTimeoutMs: 2_000,
    deadRetentionMs: 60_000,
    pauseThresholdMs: 400,
    isolationThresholdMs: 10_000,
    rejoinIntervalMs: 5_000,
    syncIntervalMs: 5_000,
    urgentIntervalMs: 250,
    settleDelayMs: 2_000,
    noticeRetentionMs: 600_000,
    ringTargetCount: 2,
    randomTargetCount: 1,
    urgentTargetCount: 2,
    helperCount: 3,
    gossipBudgetBytes: 800,
    usageBudgetBytes: 300,
    maximumUsageSends: 3,
};
