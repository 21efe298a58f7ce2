/** Outcome of one example request. */
export interface ExampleResult {
    readonly title: string;
    readonly correct: boolean;
    /** Start of the answer, or what was wrong with it. */
    readonly detail: string;
    readonly durationMs: number;
}
