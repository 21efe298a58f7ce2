import type { EvidenceSeries } from "./evidenceSeries";
import type { EvidenceSnapshot } from "./evidenceSnapshot";

/** Time between snapshots; reports of other hosts come about every 300 ms. */
const SNAPSHOT_INTERVAL_MS = 500;

/** More than the 32 intervals of an order of 16 s; the older half of a longer series keeps every second snapshot. */
const MAXIMUM_SNAPSHOTS = 64;

const withoutEverySecond = (series: EvidenceSeries): EvidenceSeries =>
    series.filter((_snapshot, index) => index % 2 === 0 || index >= MAXIMUM_SNAPSHOTS / 2);

/** Appends a snapshot, at most one per interval of the series; a later one within the interval replaces the last. */
export const recordEvidence = (series: EvidenceSeries, snapshot: EvidenceSnapshot): EvidenceSeries => {
    const [previous, last] = series.slice(-2);
    if (previous !== undefined && last !== undefined && last.atMs - previous.atMs < SNAPSHOT_INTERVAL_MS) {
        return [...series.slice(0, -1), snapshot];
    }
    return [...(series.length < MAXIMUM_SNAPSHOTS ? series : withoutEverySecond(series)), snapshot];
};
