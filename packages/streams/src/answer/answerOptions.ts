import type { GenerateRequest } from "@ibislanding/upstreams";
import type { StreamPosition } from "../eventId/streamPosition";
import type { TokenJournal } from "../journal/tokenJournal";

/** Input of one answer stream. */
export interface AnswerOptions {
    readonly request: Omit<GenerateRequest, "deliveredTokens" | "cacheHandle">;
    readonly promptTokens: number;
    readonly journal: TokenJournal;
    /** Position from which the caller resumes; undefined for a new answer. */
    readonly resumeFrom: StreamPosition | undefined;
    /** Monotonic time at which the answer times out. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
}
