import type { HostId } from "@ibislanding/core";

/** The latest report of a peer. */
export interface PeerReport<Report> {
    readonly hostId: HostId;
    readonly report: Report;
    /** Time at which the peer created the report, on this host's monotonic clock. */
    readonly reportedAtMs: number;
}
