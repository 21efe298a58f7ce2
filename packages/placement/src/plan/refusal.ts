/** Backoff of one choice whose starts are refused. */
export interface Refusal {
    /** Refusals in a row. */
    readonly attempts: number;
    /** Monotonic time before which the choice isn't tried again. */
    readonly untilMs: number;
}
