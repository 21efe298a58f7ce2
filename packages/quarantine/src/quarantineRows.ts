/** What a host knows of crashing prompt parts, as rows of its report. All times are of the clock that the hosts share. */
export interface QuarantineRows {
    /** Requests whose answers had just begun when their upstreams crashed; the part ids are separated by spaces. */
    readonly suspects: readonly (readonly [
        upstreamId: string,
        startedAtMs: number,
        partIds: string,
        crashedAtMs: number,
    ])[];
    /** Suspected parts on which an answer has gone on, with the time at which it began. */
    readonly cleared: readonly (readonly [partId: string, beganAtMs: number])[];
    readonly quarantined: readonly (readonly [
        partId: string,
        sinceMs: number,
        endedAtMs: number,
        refusedAtMs: number,
        firstCrashAtMs: number,
        crashes: number,
        isConfirmed: 0 | 1,
    ])[];
}
