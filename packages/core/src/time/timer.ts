/** A scheduled callback. */
export interface Timer {
    /** Cancels the callback; has no effect after it has run. */
    readonly cancel: () => void;
}
