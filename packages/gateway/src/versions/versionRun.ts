import type { VersionRunOutcome } from "./versionRunOutcome";

/** A request that was sent to an upstream of some version. */
export interface VersionRun {
    /** Records that the first event of a stream has arrived; has no effect on a plain answer. */
    readonly recordFirstEvent: () => void;
    /** Records how the run has ended; only the first call has an effect. */
    readonly end: (outcome: VersionRunOutcome) => void;
}
