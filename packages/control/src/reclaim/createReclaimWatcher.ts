import type { Clock } from "@ibislanding/core";
import type { CloudApi, ReclaimNotice } from "@ibislanding/platform";

interface ReclaimWatcherOptions {
    readonly clock: Clock;
    readonly cloud: Pick<CloudApi, "reclaimNotices">;
    /** Whether this process is currently one of the watchers; while it isn't, the watcher makes no calls. */
    readonly isActive: () => boolean;
    readonly onNotice: (notice: ReclaimNotice) => void;
}

const LONG_POLL_MS = 20_000;
const RETRY_DELAY_MS = 500;

/** Notices whose deadline passed longer ago than this are dropped. */
const NOTICE_RETENTION_MS = 60_000;

/** Long-polls the cloud API for reclaim notices until disposed. */
export const createReclaimWatcher = (options: ReclaimWatcherOptions): AsyncDisposable => {
    const { clock } = options;
    const abort = new AbortController();
    let lastSequence = 0;

    const pollOnce = async (): Promise<void> => {
        const result = await options.cloud.reclaimNotices(lastSequence, LONG_POLL_MS, abort.signal);
        if (result.err) {
            await clock.sleep(RETRY_DELAY_MS, abort.signal);
            return;
        }
        lastSequence = Math.max(lastSequence, ...result.val.map(({ sequence }) => sequence));
        result.val
            .filter(({ deadlineMs }) => clock.wallMs() - deadlineMs < NOTICE_RETENTION_MS)
            .forEach(options.onNotice);
    };

    const watch = async (): Promise<void> => {
        while (!abort.signal.aborted) {
            await (options.isActive() ? pollOnce() : clock.sleep(RETRY_DELAY_MS, abort.signal));
        }
    };

    const running = watch();
    return {
        [Symbol.asyncDispose]: async () => {
            abort.abort();
            await running;
        },
    };
};
