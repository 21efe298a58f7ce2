import type { Timer } from "./timer";

/** Source of time. Code that depends on time uses only this interface, so that tests can control time. */
export interface Clock {
    /** Wall-clock time since the Unix epoch; may jump in either direction. */
    readonly wallMs: () => number;
    /** Monotonic time since an arbitrary start. */
    readonly monotonicMs: () => number;
    /** Runs the callback once after the delay. */
    readonly setTimer: (delayMs: number, callback: () => void) => Timer;
    /** Resolves after the delay, or immediately when the signal is aborted. */
    readonly sleep: (delayMs: number, signal?: AbortSignal) => Promise<void>;
}
