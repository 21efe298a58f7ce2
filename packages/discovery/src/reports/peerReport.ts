import type { HostId } from "@ibislanding/core";

/** The last report of a peer. */
export interface PeerReport<Report> {
    readonly hostId: HostId;
    readonly report: Report;
    /** Monotonic time at which its host made it. */
    readonly reportedAtMs: number;
}
