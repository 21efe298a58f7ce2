import type { Clock } from "@ibislanding/core";

/** Resolves to the value of the promise, or to undefined if the timeout elapses first. */
export const withTimeout = async <T>(promise: Promise<T>, timeoutMs: number, clock: Clock): Promise<T | undefined> => {
    const timerCancellation = new AbortController();
    try {
        return await Promise.race([promise, clock.sleep(timeoutMs, timerCancellation.signal).then(() => undefined)]);
    }
    finally {
        timerCancellation.abort();
    }
};
