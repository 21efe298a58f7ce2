import type { Clock } from "./clock";
import type { LoopDelayMeter } from "./loopDelayMeter";

/** Interval of the timer whose delay is measured; longer turns of the event loop than this are always noticed. */
const INTERVAL_MS = 200;

/** Starts to measure how late a regular timer is, which all events that arrived during the same turn are as well. */
export const createLoopDelayMeter = (clock: Clock): LoopDelayMeter => {
    let dueAtMs = clock.monotonicMs() + INTERVAL_MS;
    let lastDelayMs = 0;
    const tick = (): void => {
        const nowMs = clock.monotonicMs();
        lastDelayMs = Math.max(0, nowMs - dueAtMs);
        dueAtMs = nowMs + INTERVAL_MS;
        timer = clock.setTimer(INTERVAL_MS, tick);
    };
    let timer = clock.setTimer(INTERVAL_MS, tick);
    return {
        delayMs: () => Math.max(lastDelayMs, clock.monotonicMs() - dueAtMs),
        [Symbol.dispose]: () => timer.cancel(),
    };
};
