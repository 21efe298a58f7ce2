import type { UsageReport } from "../model/usageReport";
import type { MembershipState } from "../state/membershipState";
import { usageSizeBytes } from "../wire/usageSizeBytes";

/** Stores and queues a usage report of another known member that is not dead, if it is newer than the stored one. */
export const mergeUsage = (state: MembershipState, report: UsageReport): void => {
    const member = state.members.get(report.hostId);
    const known = state.usages.get(report.hostId);
    const isNewer = known === undefined || report.sequence > known.sequence;
    if (member === undefined || member === state.self || member.state === "dead" || !isNewer) {
        return;
    }
    state.usages.set(report.hostId, report);
    state.queue.put("usage", report.hostId, usageSizeBytes(report));
};
