/** How an answer stream reacts to failures; tests replace it to show what each part protects from. */
export interface AnswerStrategy {
    /** Whether to go on at another upstream after a failure. */
    readonly recovers: boolean;
    /** Whether tokens that were delivered before are dropped when they come again. */
    readonly dropsDuplicates: boolean;
    /** Time before a leaving upstream's deadline at which its streams move. */
    readonly evacuationLeadMs: number;
}
