/** Units consumed within a sliding window. */
export interface UsageWindow {
    /** Adds units that were consumed the given time ago. */
    readonly add: (units: number, ageMs?: number) => void;
    readonly sum: () => number;
    /** Time after which the sum is at most the given one if nothing is added; at most the length of the window. */
    readonly fallsInMs: (units: number) => number;
    /**
     * Units per millisecond that may be consumed from now on, at a constant rate, such that the sum does not exceed the
     * limit later; 0 if it exceeds it already.
     */
    readonly sustainablePerMs: (limitUnits: number) => number;
}
