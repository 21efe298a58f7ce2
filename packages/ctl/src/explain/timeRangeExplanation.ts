import type { CauseCount } from "./causeCount";
import type { LogLine } from "./logLine";

/** Explanation of the requests in a time range, derived from the logs. */
export interface TimeRangeExplanation {
    readonly fromMs: number;
    readonly untilMs: number;
    readonly requests: number;
    /** Causes of the requests that were refused, failed or answered late, most frequent first. */
    readonly causes: readonly CauseCount[];
    /** Lines that are not about a single request, oldest first. */
    readonly lines: readonly LogLine[];
}
