/** Model of the time to the first event as a function of prompt length, fitted to measured responses. */
export interface PromptModel {
    /** Prompt tokens that an engine processes per millisecond. */
    readonly tokensPerMs: () => number;
    /**
     * Part of the time to the first event that is independent of the prompt: the decoding steps that generate the
     * event.
     */
    readonly overheadMs: () => number;
    /** Adds a sample: the number of tokens to process and the time from the request to the first event. */
    readonly observe: (tokens: number, durationMs: number) => void;
}
