import type { EvidenceSeries } from "./evidenceSeries";
import type { VersionCounts } from "./versionCounts";
import type { VersionEvidence } from "./versionEvidence";

/** Sums of increments since the first snapshot. A sum that falls, after the restart of a host, counts as unchanged. */
const accumulate = (totals: readonly number[]): readonly number[] => {
    let sum = 0;
    return totals.map((total, index) => {
        sum += Math.max(0, total - (totals[index - 1] ?? total));
        return sum;
    });
};

/** Counts the rows of a series that a filter accepts. */
export const countEvidence = (
    series: EvidenceSeries,
    accepts: (row: VersionEvidence) => boolean,
    reason: "failures" | "slow",
): VersionCounts => {
    const rows = series.map(snapshot => snapshot.rows.filter(accepts));
    const totals = (field: "sent" | "answers" | "failures" | "slow"): readonly number[] =>
        accumulate(rows.map(selected => selected.reduce((sum, row) => sum + row[field], 0)));
    return { sent: totals("sent"), answers: totals("answers"), bad: totals(reason) };
};
