import type { EvidenceSnapshot } from "./evidenceSnapshot";

/**
 * Snapshots since an order, oldest first, from `recordEvidence`. The first one is the state at the order.
 *
 * The verdict compares versions interval by interval, so that trouble of all upstreams is not attributed to the version
 * whose share happened to rise in that time.
 */
export type EvidenceSeries = readonly EvidenceSnapshot[];
