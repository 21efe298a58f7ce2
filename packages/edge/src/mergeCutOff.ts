import type { HostReport } from "./hostReport";

/**
 * Returns the rows of some reports on hosts that do not reach upstreams, the lowest share for each host and service; undefined if
 * there is none.
 */
export const mergeCutOff = (reports: readonly Pick<HostReport, "cutOff">[]): HostReport["cutOff"] => {
    const rows = reports
        .flatMap(({ cutOff }) => cutOff ?? [])
        .sort(([, , left], [, , right]) => right - left);
    const lowest = new Map(rows.map(row => [JSON.stringify(row.slice(0, 2)), row]));
    return lowest.size === 0 ? undefined : [...lowest.values()];
};
