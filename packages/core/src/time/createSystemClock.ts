import type { Clock } from "./clock";

/** Creates a clock backed by the system time and the timers of Node.js. */
export const createSystemClock = (): Clock => ({
    wallMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    setTimer: (delayMs, callback) => {
        const handle = setTimeout(callback, delayMs);
        return { cancel: () => clearTimeout(handle) };
    },
    sleep: (delayMs, signal) =>
        new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(handle);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const handle = setTimeout(finish, delayMs);
            signal?.addEventListener("abort", finish);
            if (signal?.aborted) {
                finish();
            }
        }),
});
