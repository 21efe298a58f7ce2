import type { HostId } from "@ibislanding/core";
import type { BrittleRow, VersionCounts } from "@ibislanding/gateway";
import type { QuarantineRows } from "@ibislanding/quarantine";
import type { ReachRow } from "./reachRow";

/**
 * State that a host reports to the others, or the sum of the states of a collector's members, serialised as JSON; short
 * names keep it small.
 */
export interface HostReport {
    readonly hostId: HostId;
    /** Name of the host; the same for successive processes on it. */
    readonly hostName: string;
    /** `ip:port` of the host's listener for other hosts. */
    readonly address: string;
    /** Of a contribution: the collector process to which its counters were assigned; empty while it is not known. */
    readonly collectorId: string;
    /** Increases with each report of the process. */
    readonly sequence: number;
    readonly wallMs: number;
    /** Position of each document set that this host has, and the revision since which it has not changed if that is earlier. */
    readonly positions: Readonly<
        Record<string, readonly [epoch: number, revision: number, changedRevision?: number | undefined]>
    >;
    /** Whether this host can reach the store. */
    readonly isInContact: boolean;
    /**
     * Milliseconds since a document set of this host was known to be the newest, when the report was created; without those of
     * which this was never known.
     */
    readonly ages?: Readonly<Record<string, number>> | undefined;
    /** Number of hosts whose state the report contains. */
    readonly hostCount: number;
    /** Age of the oldest of their states when the report was created. */
    readonly oldestMs: number;
    /** Requests in flight and waiting prompt tokens at each upstream. */
    readonly loads: readonly (readonly [upstreamId: string, running: number, backlogTokens: number])[];
    /**
     * Units of each client account that were admitted since the process started, within its limit and beyond, and units
     * of requests that were refused, which are left out while there are none.
     */
    readonly accounts: readonly (readonly [accountId: string, entitled: number, spare: number, refused?: number])[];
    /** Units of each client account that all hosts together may still admit, where the host knows. */
    readonly levels: readonly (readonly [accountId: string, level: number])[];
    /** Number of requests of each account that began in each of the last windows. */
    readonly began: readonly (readonly [window: number, accountId: string, count: number])[];
    /** Engines of each service that this host's prompt work keeps busy: milliseconds of work per millisecond. */
    readonly work: readonly (readonly [service: string, busyUpstreams: number])[];
    /** Starts of upstreams that are leaving. */
    readonly leaving: readonly (readonly [upstreamId: string, startedAtMs: number])[];
    /** Newest limits that upstreams have stated, in requests a second of all hosts; -1 for none any more. */
    readonly limits: readonly (readonly [
        upstreamId: string,
        startedAtMs: number,
        statedAtMs: number,
        limitPerS: number,
    ])[];
    /** Newest statements of brittle upstreams; left out if there are none, so that it adds no bytes. */
    readonly brittle?: readonly BrittleRow[] | undefined;
    /** Hosts that do not reach upstreams; absent if there is none, so that the report is no longer than without it. */
    readonly cutOff?: readonly ReachRow[] | undefined;
    /** Evidence of prompt parts under which upstreams crash, and the quarantined ones. */
    readonly quarantine: QuarantineRows;
    /** Requests of the services with a rollout order by version and route, since each process began to count; they only grow. */
    readonly versions: readonly VersionCounts[];
    /**
     * Offered and served units of saturated services by urgency and account, since each process began to count; they only
     * grow. Absent while no service is saturated, so that it adds no bytes.
     */
    readonly demand?:
        | readonly (readonly [
            service: string,
            urgency: number,
            accountId: string,
            offeredUnits: number,
            sentUnits: number,
        ])[]
        | undefined;
    /** Counts that this host stored for windows as lease holder, and which may have been sent. */
    readonly usageRecords: readonly (readonly [window: number, accountId: string, count: number])[];
}
