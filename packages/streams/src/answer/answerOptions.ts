import type { GenerateRequest } from "@ibislanding/upstreams";
import type { StreamPosition } from "../eventId/streamPosition";
import type { TokenJournal } from "../journal/tokenJournal";

/** One answer to produce. */
export interface AnswerOptions {
    readonly request: Omit<GenerateRequest, "deliveredTokens" | "cacheHandle">;
    readonly promptTokens: number;
    readonly journal: TokenJournal;
    /** Place from which the caller resumes. */
    readonly resumeFrom: StreamPosition | undefined;
    /** Monotonic time at which the answer is given up. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
}
