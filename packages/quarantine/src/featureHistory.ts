/** What is known of a feature besides the crashes under it. */
export interface FeatureHistory {
    readonly isQuarantined: boolean;
    /** Whether it explains its crashes while it is quarantined, also for a feature that was in more crashes. */
    readonly explainsOthers: "always" | "if-not-outnumbered";
    /** Time at which the last answer on the feature that went on had begun; -Infinity if there is none. */
    readonly clearedAtMs: number;
    /** Crashes before this time don't count, as they led to a quarantine that has ended. */
    readonly countedFromMs: number;
    /** Crashes at different times after which the feature is blamed. */
    readonly crashesToBlame: number;
    /** Crashes that are needed in addition if answers are counted whose head had not arrived. */
    readonly extraIfUnbegun: number;
    /** Different requests under which the crashes must have come. */
    readonly minimumRequests: number;
}
