/** Time to the first event of a prompt, learned from answers. */
export interface PromptModel {
    /** Prompt tokens that an engine processes in a millisecond. */
    readonly tokensPerMs: () => number;
    /** Time to the first event that does not depend on the prompt: the steps that generate the event. */
    readonly overheadMs: () => number;
    /** Takes an answer whose first event came so long after these tokens were to be processed. */
    readonly observe: (tokens: number, durationMs: number) => void;
}
