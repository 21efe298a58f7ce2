/** Remembers when this process saw a condition change. */
export interface ConditionTimes {
    /** Returns the time since when the condition has had this status. */
    readonly changedAtMs: (condition: string, status: string) => number;
}
