import type { Timer } from "./timer";

/** Source of time; decisions and tasks use only this, so that tests can control it. */
export interface Clock {
    /** Wall-clock time since the Unix epoch; may jump. */
    readonly wallMs: () => number;
    /** Monotonic time since an arbitrary start. */
    readonly monotonicMs: () => number;
    /** Runs the callback once after the delay. */
    readonly setTimer: (delayMs: number, callback: () => void) => Timer;
    /** Resolves after the delay, or at once when the signal aborts. */
    readonly sleep: (delayMs: number, signal?: AbortSignal) => Promise<void>;
}
