import type { LogLine } from "./logLine";

/** Explanation of one request, derived from the logs. */
export interface RequestExplanation {
    readonly requestId: string;
    /** Cause as a sentence. */
    readonly cause: string;
    /** Number of other requests that any host logged for the same upstreams during this request. */
    readonly requestsBeside: number;
    /** Lines of the request, and lines within seconds of it about its hosts, upstreams and scaling; oldest first. */
    readonly lines: readonly LogLine[];
}
