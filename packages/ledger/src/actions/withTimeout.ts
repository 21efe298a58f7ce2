import type { Clock } from "@ibislanding/core";

/** Returns the value of the promise, or undefined when the time passes first. */
export const withTimeout = async <T>(promise: Promise<T>, timeoutMs: number, clock: Clock): Promise<T | undefined> => {
    const timerCancellation = new AbortController();
    try {
        return await Promise.race([promise, clock.sleep(timeoutMs, timerCancellation.signal).then(() => undefined)]);
    }
    finally {
        timerCancellation.abort();
    }
};
