import type { UpstreamRecord } from "./upstreamRecord";

/** Distinguishes crashes of upstreams from answers that were lost for other reasons. */
export interface CrashDetector {
    /** Records that an answer that had just begun was lost. */
    readonly recordLoss: (upstream: UpstreamRecord, sharedPartIds: readonly string[]) => void;
}
