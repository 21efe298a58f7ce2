import type { HostId } from "@ibislanding/core";

/** State that a host reports to the others, serialised as JSON; short names keep it small. */
export interface HostReport {
    readonly hostId: HostId;
    /** Name of the host; the same for successive processes on it. */
    readonly hostName: string;
    /** Increases with each report of the process. */
    readonly sequence: number;
    readonly wallMs: number;
    /** Store revision of each document set that this host has. */
    readonly revisions: Readonly<Record<string, number>>;
    /** Whether this host can reach the store. */
    readonly isInContact: boolean;
    /** Requests in flight and waiting prompt tokens at each upstream. */
    readonly loads: readonly (readonly [upstreamId: string, running: number, backlogTokens: number])[];
    /**
     * Units of each client account that were admitted since the process started, within its limit and beyond, and the
     * units that all hosts together may still admit.
     */
    readonly accounts:
        readonly (readonly [accountId: string, entitled: number, spare: number, level?: number | undefined])[];
    /** Number of requests of each account that began in each of the last windows. */
    readonly began: readonly (readonly [window: number, accountId: string, count: number])[];
    /** Engines of each service that this host's prompt work keeps busy: milliseconds of work per millisecond. */
    readonly work: readonly (readonly [service: string, busyUpstreams: number])[];
}
