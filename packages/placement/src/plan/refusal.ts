/** Backoff state of a choice whose starts were refused. */
export interface Refusal {
    /** Number of consecutive refusals. */
    readonly attempts: number;
    /** Monotonic time before which the choice is not tried again. */
    readonly untilMs: number;
}
