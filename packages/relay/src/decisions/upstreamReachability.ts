import type { UpstreamId } from "@ibislanding/core";

/** Whether a host can open connections to the upstreams of a service, and to which, as decided from its sends and probes. */
export interface UpstreamReachability {
    /** A new connection was opened; returns whether the host thereby reaches upstreams again. */
    readonly recordConnection: (upstreamId: UpstreamId) => boolean;
    /** A connection was lost. */
    readonly recordFailure: (upstreamId: UpstreamId) => void;
    /** A connection could not be opened; returns whether the upstream was presumed to be reached until now. */
    readonly recordUnreachable: (upstreamId: UpstreamId) => boolean;
    /** Bytes of an upstream have arrived, on an old or a new connection. */
    readonly recordProgress: (upstreamId: UpstreamId) => void;
    /**
     * Whether upstreams are to be probed now; `waitingSinceMs` is the start of the oldest send without any byte yet, and
     * `overdueId` the upstream of an overdue send.
     */
    readonly isCheckDue: (waitingSinceMs: number | undefined, overdueId: UpstreamId | undefined) => boolean;
    /** Whether a send without a byte since `startedAtMs` is reason enough to probe its upstream. */
    readonly isOverdue: (send: {
        readonly upstreamId: UpstreamId;
        readonly startedAtMs: number;
        readonly patienceMs: number;
    }) => boolean;
    /** Whether such a send is reason enough to probe its upstream once another one was found to be unreached. */
    readonly isSuspect: (send: { readonly upstreamId: UpstreamId; readonly startedAtMs: number; }) => boolean;
    /** Whether no connection to the upstream could be opened lately, although others may be reached. */
    readonly isUnreached: (upstreamId: UpstreamId) => boolean;
    readonly hasUnreached: () => boolean;
    /** Unreached upstreams of the given ones that are to be probed again now; the others are forgotten. */
    readonly selectReprobed: (registered: readonly UpstreamId[]) => readonly UpstreamId[];
    /** Records the end of the probe of one upstream; returns whether `reachesUpstreams` has changed. */
    readonly recordProbe: (probe: {
        readonly upstreamId: UpstreamId;
        readonly startedAtMs: number;
        readonly isListening: boolean;
    }) => boolean;
    /** Records the end of the probes of one check; returns whether `reachesUpstreams` has changed. */
    readonly recordCheck: (check: {
        readonly startedAtMs: number;
        /** The upstreams that were probed, and whether each accepted the connection. */
        readonly probes: readonly { readonly upstreamId: UpstreamId; readonly isListening: boolean; }[];
    }) => boolean;
    readonly reachesUpstreams: () => boolean;
    /**
     * Whether a send without a byte for `silentForMs` is to be abandoned; it may wait for `patienceMs`. One that may not be
     * repeated is abandoned only if no upstream is reached: the upstream may answer once the link is back.
     */
    readonly isHung: (send: {
        readonly upstreamId: UpstreamId;
        readonly mayRepeat: boolean;
        readonly silentForMs: number;
        readonly patienceMs: number;
    }) => boolean;
    /** Whether an old connection has delivered bytes since new ones fail. */
    readonly hasLiveConnections: () => boolean;
    /** Monotonic time of the last new connection; -Infinity if there was none. */
    readonly lastConnectionAtMs: () => number;
    /** Monotonic time of the last failure of an upstream; -Infinity if it has not failed. */
    readonly lastFailureAtMs: (upstreamId: UpstreamId) => number;
}
