import type { FakeClock } from "./fakeClock";

interface ScheduledTimer {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
}

const FLUSH_ROUNDS = 20;

const flushPromises = async (): Promise<void> => {
    for (let round = 0; round < FLUSH_ROUNDS; round++) {
        await Promise.resolve();
    }
    await new Promise(resolve => setImmediate(resolve));
};

/** Creates a manually advanced clock that starts at the given wall-clock time and at monotonic time 0. */
export const createFakeClock = (startWallMs = 0): FakeClock => {
    const timers = new Set<ScheduledTimer>();
    let monotonicMs = 0;
    let wallOffsetMs = startWallMs;
    let nextOrder = 0;

    const schedule = (delayMs: number, callback: () => void): ScheduledTimer => {
        const timer = { dueMs: monotonicMs + Math.max(0, delayMs), order: nextOrder++, callback };
        timers.add(timer);
        return timer;
    };

    const nextDue = (untilMs: number): ScheduledTimer | undefined =>
        [...timers]
            .filter(timer => timer.dueMs <= untilMs)
            .sort((left, right) => left.dueMs - right.dueMs || left.order - right.order)[0];

    const advance = async (durationMs: number): Promise<void> => {
        const untilMs = monotonicMs + durationMs;
        await flushPromises();
        for (let due = nextDue(untilMs); due !== undefined; due = nextDue(untilMs)) {
            timers.delete(due);
            monotonicMs = Math.max(monotonicMs, due.dueMs);
            due.callback();
            await flushPromises();
        }
        monotonicMs = untilMs;
        await flushPromises();
    };

    return {
        wallMs: () => monotonicMs + wallOffsetMs,
        monotonicMs: () => monotonicMs,
        setTimer: (delayMs, callback) => {
            const timer = schedule(delayMs, callback);
            return { cancel: () => void timers.delete(timer) };
        },
        sleep: (delayMs, signal) =>
            new Promise(resolve => {
                if (signal?.aborted) {
                    resolve();
                    return;
                }
                const finish = (): void => {
                    timers.delete(timer);
                    signal?.removeEventListener("abort", finish);
                    resolve();
                };
                const timer = schedule(delayMs, finish);
                signal?.addEventListener("abort", finish);
            }),
        advance,
        shiftWallClock: offsetMs => {
            wallOffsetMs += offsetMs;
        },
        pendingTimerCount: () => timers.size,
    };
};
