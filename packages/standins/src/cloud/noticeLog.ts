import type { UpstreamId } from "@ibislanding/core";
import type { ReclaimNotice } from "@ibislanding/platform";

/** Reclaim notices in the order in which they were issued. */
export interface NoticeLog {
    readonly add: (upstreamId: UpstreamId, deadlineMs: number) => void;
    /** Returns the notices after a sequence number, waiting for one at most `waitMs`. */
    readonly waitAfter: (sequence: number, waitMs: number) => Promise<readonly ReclaimNotice[]>;
}
