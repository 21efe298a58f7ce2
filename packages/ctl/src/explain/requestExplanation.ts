import type { LogLine } from "./logLine";

/** What the logs tell of one request. */
export interface RequestExplanation {
    readonly requestId: string;
    /** Cause in a sentence. */
    readonly cause: string;
    /** Requests of other callers that were at the same upstream at the same time, by what all hosts logged. */
    readonly requestsBeside: number;
    /** The request's own lines, and those on its host, its upstreams and the fleet around it; oldest first. */
    readonly lines: readonly LogLine[];
}
