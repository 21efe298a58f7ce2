/** What speaks for a member having failed after a probe went unanswered. */
export interface SuspicionEvidence {
    /** Number of members that were asked to probe it too. */
    readonly helpersAsked: number;
    /** Number of them that answered that they could not reach the member either. */
    readonly confirmations: number;
    /** Time since this process got any answer. */
    readonly sinceResponseMs: number;
}
