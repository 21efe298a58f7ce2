/** Result of an example request. */
export interface ExampleResult {
    readonly title: string;
    readonly correct: boolean;
    /** Beginning of the answer text or of the response, or the error. */
    readonly detail: string;
    readonly durationMs: number;
}
