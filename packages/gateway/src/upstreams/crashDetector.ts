import type { LostRun } from "./lostRun";
import type { UpstreamRecord } from "./upstreamRecord";

/** Distinguishes crashes of upstreams from answers that were lost for other reasons. */
export interface CrashDetector {
    /** Records that the answer to a request was lost. */
    readonly recordLoss: (upstream: UpstreamRecord, lost: LostRun) => void;
}
