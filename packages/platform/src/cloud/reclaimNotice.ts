import type { UpstreamId } from "@ibislanding/core";

/** Notice that the platform will reclaim a host. */
export interface ReclaimNotice {
    readonly upstreamId: UpstreamId;
    readonly deadlineMs: number;
    /** Strictly increasing over all notices. */
    readonly sequence: number;
}
