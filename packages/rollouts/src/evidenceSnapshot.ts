import type { VersionEvidence } from "./versionEvidence";

/** Evidence on all versions of one service as one host knew it at one time. */
export interface EvidenceSnapshot {
    /** Cluster time. */
    readonly atMs: number;
    readonly rows: readonly VersionEvidence[];
}
