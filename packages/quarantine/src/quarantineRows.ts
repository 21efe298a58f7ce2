/** What a host knows of crashing features, as rows of its report. All times are of the clock that the hosts share. */
export interface QuarantineRows {
    /** Requests whose answers were lost when their upstreams crashed; the feature ids are separated by spaces. */
    readonly suspects: readonly (readonly [
        upstreamId: string,
        startedAtMs: number,
        featureIds: string,
        crashedAtMs: number,
        runMs: number,
        hasBegun: 0 | 1,
    ])[];
    /** Suspected features on which an answer has gone on, with the time at which it began. */
    readonly cleared: readonly (readonly [featureId: string, beganAtMs: number])[];
    readonly quarantined: readonly (readonly [
        featureId: string,
        sinceMs: number,
        endedAtMs: number,
        refusedAtMs: number,
        firstCrashAtMs: number,
        crashes: number,
        isConfirmed: 0 | 1,
    ])[];
}
