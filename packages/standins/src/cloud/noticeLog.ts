import type { UpstreamId } from "@ibislanding/core";
import type { ReclaimNotice } from "@ibislanding/platform";

/** Reclaim notices in the order in which they were issued. */
export interface NoticeLog {
    readonly add: (upstreamId: UpstreamId, deadlineMs: number) => void;
    /** Returns the notices after a sequence number; if there are none, waits up to `waitMs` for one. */
    readonly waitAfter: (sequence: number, waitMs: number) => Promise<readonly ReclaimNotice[]>;
}
