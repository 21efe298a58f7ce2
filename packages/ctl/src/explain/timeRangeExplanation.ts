import type { CauseCount } from "./causeCount";
import type { LogLine } from "./logLine";

/** What the logs tell of a time span. */
export interface TimeRangeExplanation {
    readonly fromMs: number;
    readonly untilMs: number;
    readonly requests: number;
    /** Requests that were not answered in time, most frequent cause first. */
    readonly causes: readonly CauseCount[];
    /** Lines that concern no single request, oldest first. */
    readonly lines: readonly LogLine[];
}
