import type { Clock } from "@ibislanding/core";
import type { EventLog } from "@ibislanding/runtime";

const CHECK_INTERVAL_MS = 500;

/** Smaller differences between the clocks are corrections of the wall clock. */
const LEAST_DIFFERENCE_MS = 400;

/**
 * Logs when the wall clock moves against the monotonic clock, which stands still while a process is suspended: either
 * the process was suspended for that time, or its wall clock was set.
 */
export const watchSuspensions = async (clock: Clock, log: EventLog, signal: AbortSignal): Promise<void> => {
    let differenceMs = clock.wallMs() - clock.monotonicMs();
    while (!signal.aborted) {
        await clock.sleep(CHECK_INTERVAL_MS, signal);
        const nextMs = clock.wallMs() - clock.monotonicMs();
        if (Math.abs(nextMs - differenceMs) >= LEAST_DIFFERENCE_MS) {
            log.write("clocks_diverged", { byMs: Math.round(nextMs - differenceMs) });
        }
        differenceMs = nextMs;
    }
};
