import type { UsageReport as WireUsageReport } from "@ibislanding/protocol";
import type { UsageReport } from "../model/usageReport";

/** Converts a usage report to its message, which has the same fields. */
export const toWireUsage = (report: UsageReport): WireUsageReport => ({
    hostId: report.hostId,
    sequence: report.sequence,
    accounts: report.accounts.map(account => ({ ...account })),
});
