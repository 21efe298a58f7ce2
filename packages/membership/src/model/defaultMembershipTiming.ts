import type { MembershipTiming } from "./membershipTiming";

/** Values of the programs. */
export const defaultMembershipTiming: MembershipTiming = {
    tickMs: 250,
    periodMs: 500,
    directTimeoutMs: 400,
    indirectTimeoutMs: 700,
    suspicionMs: 2_000,
    forgetDeadMs: 60_000,
    pauseThresholdMs: 400,
    isolationMs: 10_000,
    rejoinMs: 5_000,
    syncMs: 5_000,
    urgentMs: 250,
    settleMs: 2_000,
    keepNoticeMs: 600_000,
    ringTargets: 2,
    randomTargets: 1,
    urgentTargets: 2,
    helpers: 3,
    messageBytes: 800,
    usageBytes: 300,
    usageSends: 3,
};
