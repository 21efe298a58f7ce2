import type { UpstreamId } from "@ibislanding/core";

/** Whether a host can open connections to upstreams, as decided from its sends and probes. */
export interface UpstreamReachability {
    /** A new connection was opened; returns whether the host thereby reaches upstreams again. */
    readonly recordConnection: () => boolean;
    /** A connection could not be opened or was lost. */
    readonly recordFailure: (upstreamId: UpstreamId) => void;
    /** Bytes of an upstream have arrived, on an old or a new connection. */
    readonly recordProgress: (upstreamId: UpstreamId) => void;
    /** Whether upstreams are to be probed now; `waitingSinceMs` is the start of the oldest send without any byte yet. */
    readonly isCheckDue: (waitingSinceMs: number | undefined) => boolean;
    /** Records the end of the probes of one check; returns whether `reachesUpstreams` has changed. */
    readonly recordCheck: (check: {
        readonly startedAtMs: number;
        /** The upstreams that were probed, and whether each accepted the connection. */
        readonly probes: readonly { readonly upstreamId: UpstreamId; readonly isListening: boolean; }[];
    }) => boolean;
    readonly reachesUpstreams: () => boolean;
    /** Whether a send without a byte for `silentForMs` is to be abandoned; it may wait for `patienceMs`. */
    readonly isHung: (send: {
        readonly upstreamId: UpstreamId;
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
