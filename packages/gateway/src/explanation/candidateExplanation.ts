/** Inputs of the decision for one upstream. */
export interface CandidateExplanation {
    readonly upstreamId: string;
    readonly softwareVersion: string;
    readonly availabilityZone: string;
    /** Predicted time to the first event of a stream, or to the end of a plain response. */
    readonly predictedMs: number;
    readonly backlogMs: number;
    readonly roundTripMs: number;
    /** Requests in flight from all hosts. */
    readonly running: number;
    readonly slots: number;
    /** Time since the oldest load of a peer was received; undefined if only the host's own load is known. */
    readonly loadAgeMs: number | undefined;
    readonly isLeaving: boolean;
    /** Remaining time for which the host must not send to the upstream. */
    readonly pausedMs: number;
    readonly isEjected: boolean;
    readonly isMissing: boolean;
    readonly isAtConnectionLimit: boolean;
    readonly isVersionAllowed: boolean;
}
