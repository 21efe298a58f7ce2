import type { AccountId, HostId } from "@ibislanding/core";
import type { UsageReport as WireUsageReport } from "@ibislanding/protocol";
import type { UsageReport } from "../model/usageReport";

/** Converts a received usage report; IDs are not validated. */
export const fromWireUsage = (report: WireUsageReport): UsageReport => ({
    hostId: report.hostId as HostId,
    sequence: report.sequence,
    accounts: report.accounts.map(account => ({ ...account, accountId: account.accountId as AccountId })),
});
