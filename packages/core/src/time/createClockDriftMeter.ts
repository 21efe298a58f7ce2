import type { Clock } from "./clock";

/**
 * Creates a function that returns the milliseconds by which the wall clock moved against the monotonic clock since its
 * last call. The monotonic clock does not advance while the machine is suspended, so a large drift means that the
 * machine was suspended or that its wall clock was set. Stopping only the process (SIGSTOP) causes no drift.
 */
export const createClockDriftMeter = (clock: Clock): () => number => {
    let offsetMs = clock.wallMs() - clock.monotonicMs();
    return () => {
        const previousOffsetMs = offsetMs;
        offsetMs = clock.wallMs() - clock.monotonicMs();
        return offsetMs - previousOffsetMs;
    };
};
