/** Evidence that a member has failed, gathered after an unanswered probe. */
export interface SuspicionEvidence {
    /** Number of members that were asked to probe the target as well. */
    readonly helpersAsked: number;
    /** Number of these helpers that responded without having reached the target. */
    readonly confirmations: number;
    /** Time since this process last received a response from any member. */
    readonly sinceResponseMs: number;
}
