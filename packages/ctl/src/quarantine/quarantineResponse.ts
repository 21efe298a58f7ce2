/** What a host states of the features that are quarantined: prompt parts, and requests by their fingerprint. */
export interface QuarantineResponse {
    readonly quarantined: readonly {
        readonly featureId: string;
        /** Start of the quarantine or of its last trial, Unix time. */
        readonly sinceMs: number;
        /** Time at which a request was refused last; undefined if none was. */
        readonly refusedAtMs?: number;
        readonly firstCrashAtMs: number;
        readonly crashes: number;
        /** Whether there is no further trial. */
        readonly isConfirmed: boolean;
        /** Time until the quarantine ends if no further request comes. */
        readonly remainingMs: number;
        /** Upstreams that crashed, as far as the host still knows them. */
        readonly upstreamIds: readonly string[];
    }[];
}
