import type { UpstreamId } from "@ibislanding/core";

/** Announcement that the platform takes a host back. */
export interface ReclaimNotice {
    readonly upstreamId: UpstreamId;
    readonly deadlineMs: number;
    /** Increases with every notice. */
    readonly sequence: number;
}
