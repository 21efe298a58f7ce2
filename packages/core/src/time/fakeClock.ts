import type { Clock } from "./clock";

/** A clock that moves only when told to. */
export interface FakeClock extends Clock {
    /** Moves both times forward and runs due callbacks in order, letting promises settle between them. */
    readonly advance: (durationMs: number) => Promise<void>;
    /** Moves wall-clock time alone by the offset, which may be negative. */
    readonly shiftWallClock: (offsetMs: number) => void;
    /** Number of callbacks that are scheduled. */
    readonly pendingTimerCount: () => number;
}
