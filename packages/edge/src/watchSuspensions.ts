import { type Clock, createClockDriftMeter } from "@ibislanding/core";
import type { EventLog } from "@ibislanding/runtime";

const CHECK_INTERVAL_MS = 500;

/** Smaller drifts are regular corrections of the wall clock. */
const MINIMUM_DRIFT_MS = 400;

/** Logs each time the machine was suspended or its wall clock was set, until the signal aborts. */
export const watchSuspensions = async (clock: Clock, log: EventLog, signal: AbortSignal): Promise<void> => {
    const drift = createClockDriftMeter(clock);
    while (!signal.aborted) {
        await clock.sleep(CHECK_INTERVAL_MS, signal);
        const driftMs = drift();
        if (Math.abs(driftMs) >= MINIMUM_DRIFT_MS) {
            log.write("clocks_diverged", { byMs: Math.round(driftMs) });
        }
    }
};
