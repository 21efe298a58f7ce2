import type { Clock } from "./clock";

/**
 * Returns a function that tells how much time has passed since the call, by the clock that shows more: the monotonic one does not
 * count the time for which a machine is suspended, and that of the day may be set back.
 */
export const measureElapsedMs = (clock: Pick<Clock, "monotonicMs" | "wallMs">): () => number => {
    const monotonicMs = clock.monotonicMs();
    const wallMs = clock.wallMs();
    return () => Math.max(clock.monotonicMs() - monotonicMs, clock.wallMs() - wallMs);
};
