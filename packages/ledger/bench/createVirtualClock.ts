import type { Clock, Timer } from "@ibislanding/core";

interface VirtualTimer {
    readonly dueMs: number;
    readonly callback: () => void;
}

interface VirtualClock extends Clock {
    /** Runs due timer callbacks in order up to the given time; pending promises settle after each. */
    readonly runUntil: (untilMs: number) => Promise<void>;
}

/** Creates a simulated clock that jumps to the next due timer instead of waiting. */
export const createVirtualClock = (): VirtualClock => {
    const timers: VirtualTimer[] = [];
    const cancelled = new Set<VirtualTimer>();
    let nowMs = 0;

    const positionOf = (dueMs: number): number => {
        let low = 0;
        let high = timers.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((timers[middle]?.dueMs ?? 0) > dueMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    };

    /** Inserts a timer; the array is in descending order of time, so that the next timer to run is the last. */
    const setTimer = (delayMs: number, callback: () => void): Timer => {
        const timer = { dueMs: nowMs + Math.max(0, delayMs), callback };
        timers.splice(positionOf(timer.dueMs), 0, timer);
        return { cancel: () => void cancelled.add(timer) };
    };

    return {
        wallMs: () => nowMs,
        monotonicMs: () => nowMs,
        setTimer,
        sleep: (delayMs, signal) =>
            new Promise(resolve => {
                const timer = setTimer(delayMs, resolve);
                signal?.addEventListener("abort", () => {
                    timer.cancel();
                    resolve();
                });
            }),
        runUntil: async untilMs => {
            for (let next = timers.at(-1); next !== undefined && next.dueMs <= untilMs; next = timers.at(-1)) {
                timers.pop();
                if (!cancelled.delete(next)) {
                    nowMs = next.dueMs;
                    next.callback();
                    await new Promise(resolve => setImmediate(resolve));
                }
            }
            nowMs = untilMs;
        },
    };
};
