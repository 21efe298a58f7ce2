import type { Clock } from "./clock";

/**
 * Creates a function that returns the milliseconds by which the wall clock moved against the monotonic clock since its
 * last call. The monotonic clock stands still while a process is suspended, so that a large drift means that the process
 * was suspended or that its wall clock was set.
 */
export const createClockDriftMeter = (clock: Clock): () => number => {
    let offsetMs = clock.wallMs() - clock.monotonicMs();
    return () => {
        const previousOffsetMs = offsetMs;
        offsetMs = clock.wallMs() - clock.monotonicMs();
        return offsetMs - previousOffsetMs;
    };
};
