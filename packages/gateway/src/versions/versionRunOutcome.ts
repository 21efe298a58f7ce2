/** How a run ended, as evidence for or against the version of the upstream. */
export type VersionRunOutcome =
    | "answered"
    /** The upstream answered with a failure, or with something that is not an answer. */
    | "failed"
    /** The connection ended before the answer was complete: a failure, unless the upstream crashed or left. */
    | "lost"
    /** Nothing was sent, the upstream did not run the request, or the run goes on elsewhere. */
    | "not-run"
    /** The client left, or its time was over. */
    | "aborted";
