import type { Clock } from "./clock";

/** A clock for tests that advances only on request. */
export interface FakeClock extends Clock {
    /** Advances wall-clock and monotonic time and runs due callbacks in order; promises settle between callbacks. */
    readonly advance: (durationMs: number) => Promise<void>;
    /** Shifts only the wall clock by the offset, which may be negative. */
    readonly shiftWallClock: (offsetMs: number) => void;
    /** Number of scheduled callbacks that have neither run nor been cancelled. */
    readonly pendingTimerCount: () => number;
}
