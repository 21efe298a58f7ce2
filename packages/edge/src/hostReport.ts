import type { HostId } from "@ibislanding/core";

/** What a host tells the others; short names keep the report small. */
export interface HostReport {
    readonly hostId: HostId;
    /** The same for the processes that follow each other on a host. */
    readonly hostName: string;
    /** Increases with each report of the process. */
    readonly sequence: number;
    readonly wallMs: number;
    /** Revisions of the store up to which this host knows the sets of documents. */
    readonly revisions: Readonly<Record<string, number>>;
    /** Whether the store answers this host. */
    readonly isInContact: boolean;
    /** Requests in flight and waiting prompt tokens at each upstream. */
    readonly loads: readonly (readonly [upstreamId: string, running: number, backlogTokens: number])[];
    /** Units admitted of each client account since the start of the process, and what all may still take. */
    readonly accounts:
        readonly (readonly [accountId: string, entitled: number, spare: number, level?: number | undefined])[];
    /** Requests of each account that began in each of the last windows. */
    readonly began: readonly (readonly [window: number, accountId: string, count: number])[];
    /** Milliseconds of prompt work that this host gave the engines of each service, a second. */
    readonly work: readonly (readonly [service: string, busyUpstreams: number])[];
}
