import type { UsageReport } from "../model/usageReport";
import type { LimitsState } from "../state/limitsState";

/**
 * Stores the usage report of another host unless the same or a newer one is already known. A host that is not listed
 * yet is added as a peer.
 */
export const applyUsageReport = (state: LimitsState, report: UsageReport, nowMs: number): void => {
    const known = state.peers.get(report.hostId);
    if (report.hostId === state.hostId || known !== undefined && known.sequence >= report.sequence) {
        return;
    }
    state.peers.set(report.hostId, {
        sequence: report.sequence,
        receivedAtMs: nowMs,
        accounts: new Map(report.accounts.map(account => [account.accountId, account])),
    });
};
