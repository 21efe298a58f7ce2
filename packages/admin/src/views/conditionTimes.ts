/** Times at which this process first observed the current status of each condition. */
export interface ConditionTimes {
    /** Returns the wall-clock time since which the condition has had this status; the current time for a new status. */
    readonly changedAtMs: (condition: string, status: string) => number;
}
