/** Measures for how long events of this process wait until its event loop gets to them. */
export interface LoopDelayMeter extends Disposable {
    /** Delay of the current turn of the event loop, or of the one before it, whichever is longer; 0 if it is short. */
    readonly delayMs: () => number;
}
