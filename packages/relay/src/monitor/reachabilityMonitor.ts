import type { UpstreamId } from "@ibislanding/core";
import type { UpstreamReachability } from "../decisions/upstreamReachability";
import type { SendWatch } from "./sendWatch";

/** Keeps the reachability decision on the upstreams of one service current with probes and timers. */
export interface ReachabilityMonitor
    extends AsyncDisposable, Pick<UpstreamReachability, "reachesUpstreams" | "hasLiveConnections" | "isUnreached"> {
    /** Share of the registered upstreams that are unreached, from 0 to 1. */
    readonly unreachedShare: () => number;
    readonly recordConnection: (upstreamId: UpstreamId) => void;
    readonly recordFailure: (upstreamId: UpstreamId) => void;
    readonly recordUnreachable: (upstreamId: UpstreamId) => void;
    /** Probes the upstreams, unless that is under way. */
    readonly startCheck: () => void;
    readonly watchSend: (send: {
        readonly upstreamId: UpstreamId;
        /** Whether the request may be sent again if this send is abandoned. */
        readonly mayRepeat: boolean;
        readonly objectiveMs: number;
        readonly remainingMs: number;
        readonly signal: AbortSignal;
    }) => SendWatch;
    /** Resolves when the check that is under way has ended, at once if there is none. */
    readonly checked: () => Promise<void>;
    /**
     * Resolves with whether this host reaches an upstream other than the given one, to which it has opened a connection after
     * the given monotonic time or does so now.
     */
    readonly confirmReach: (sinceMs: number, except: UpstreamId) => Promise<boolean>;
}
