import { pauseMs } from "./pauseMs";

/** Calls a function at an interval for a time. */
export const actEveryMs = async (
    intervalMs: number,
    durationMs: number,
    act: (index: number) => void,
): Promise<void> => {
    const startedAtMs = performance.now();
    for (let index = 0; performance.now() - startedAtMs < durationMs; index++) {
        act(index);
        await pauseMs(intervalMs);
    }
};
