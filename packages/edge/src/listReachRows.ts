import { HOST_EXPIRY_MS } from "./hostExpiryMs";
import type { HostReport } from "./hostReport";
import { mergeCutOff } from "./mergeCutOff";
import type { ReachRow } from "./reachRow";

/**
 * Returns what the newest report of each host says of upstreams that are not reached.
 *
 * Handles reports that are late, as after a pause of this process: as long as a host counts as live, its last word on what it
 * reaches holds. It would otherwise be taken for a host that reaches everything.
 */
export const listReachRows = (
    reports: readonly {
        readonly report: Pick<HostReport, "address" | "cutOff">;
        readonly reportedAtMs: number;
    }[],
    nowMs: number,
): readonly ReachRow[] => {
    const oldestFirst = reports
        .filter(({ reportedAtMs }) => nowMs - reportedAtMs < HOST_EXPIRY_MS)
        .sort((left, right) => left.reportedAtMs - right.reportedAtMs);
    // A restarted process reports under another id, but at the same address.
    const newest = new Map(oldestFirst.map(({ report }) => [report.address, report]));
    return mergeCutOff([...newest.values()]) ?? [];
};
