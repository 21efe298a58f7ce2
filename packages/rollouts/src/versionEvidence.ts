import type { ServiceName, SoftwareVersion } from "@ibislanding/core";

/** Counters of one version on one route, summed over all hosts; they only grow. */
export interface VersionEvidence {
    readonly service: ServiceName;
    readonly version: SoftwareVersion;
    readonly route: string;
    /** First sends, retries and resumed streams. */
    readonly sent: number;
    /** Answers that ended, the bad ones included. */
    readonly answers: number;
    /** Answers with a 5xx, and broken or invalid ones. */
    readonly failures: number;
    /**
     * Sound answers whose first event came late. Each is counted as soon as its time has passed, not when the event
     * arrives, which may be after the deadline of the order.
     */
    readonly slow: number;
}
