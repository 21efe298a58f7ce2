import type { UsageReport } from "../model/usageReport";
import { requestsPerSecond } from "../queries/requestsPerSecond";
import type { LimitsState } from "../state/limitsState";

/** Creates this host's next usage report for the other entry hosts and increments the report sequence. */
export const createUsageReport = (state: LimitsState, nowMs: number): UsageReport => ({
    hostId: state.hostId,
    sequence: ++state.reportSequence,
    accounts: [...state.accounts].map(([accountId, account]) => ({
        accountId,
        demandPerSecond: requestsPerSecond(account.demand, nowMs),
        admittedPerSecond: requestsPerSecond(account.admitted, nowMs),
        running: account.running,
    })),
});
