/** Failure handling of an answer stream; tests disable parts of it to show which failures each part prevents. */
export interface AnswerStrategy {
    /** Whether to continue on another upstream after a failure. */
    readonly recovers: boolean;
    /** Whether tokens that were already delivered are dropped when an upstream sends them again. */
    readonly dropsDuplicates: boolean;
    /** Time before a leaving upstream's deadline at which its streams move to another one. */
    readonly evacuationLeadMs: number;
}
