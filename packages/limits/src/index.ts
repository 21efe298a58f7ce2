// Options and state
export type { AccountLimits } from "./model/accountLimits";
export { defaultLimitsOptions } from "./model/defaultLimitsOptions";
export type { LimitsOptions } from "./model/limitsOptions";
export { createLimitsState } from "./state/createLimitsState";
export type { LimitsState } from "./state/limitsState";

// Client accounts and admission
export { admitRequest } from "./commands/admitRequest";
export { applyEntryHosts } from "./commands/applyEntryHosts";
export { applyUsageReport } from "./commands/applyUsageReport";
export { createUsageReport } from "./commands/createUsageReport";
export { releaseRequest } from "./commands/releaseRequest";
export type { UsageReport } from "./model/usageReport";
export { describeLimits } from "./queries/describeLimits";

// Retries and deadlines
export { depositRetries } from "./commands/depositRetries";
export { withdrawRetry } from "./commands/withdrawRetry";
export { deadlineOf } from "./queries/deadlineOf";
export { remainingMs } from "./queries/remainingMs";
