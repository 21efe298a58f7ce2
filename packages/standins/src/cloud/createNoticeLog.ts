import type { UpstreamId } from "@ibislanding/core";
import type { ReclaimNotice } from "@ibislanding/platform";
import type { NoticeLog } from "./noticeLog";

/** Creates an empty log of reclaim notices; sequence numbers start at 1. */
export const createNoticeLog = (): NoticeLog => {
    const notices: ReclaimNotice[] = [];
    const waiters = new Set<() => void>();

    const after = (sequence: number): readonly ReclaimNotice[] => notices.filter(notice => notice.sequence > sequence);

    return {
        add: (upstreamId: UpstreamId, deadlineMs: number) => {
            notices.push({ upstreamId, deadlineMs, sequence: notices.length + 1 });
            waiters.forEach(wake => wake());
        },
        waitAfter: async (sequence, waitMs) => {
            if (after(sequence).length === 0 && waitMs > 0) {
                await new Promise<void>(resolve => {
                    const wake = (): void => {
                        clearTimeout(timer);
                        waiters.delete(wake);
                        resolve();
                    };
                    const timer = setTimeout(wake, waitMs);
                    timer.unref();
                    waiters.add(wake);
                });
            }
            return after(sequence);
        },
    };
};
