/** A scheduled callback. */
export interface Timer {
    /** Cancels the callback; has no effect once it ran. */
    readonly cancel: () => void;
}
