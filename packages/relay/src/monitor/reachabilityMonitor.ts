import type { UpstreamId } from "@ibislanding/core";
import type { UpstreamReachability } from "../decisions/upstreamReachability";
import type { SendWatch } from "./sendWatch";

/** Keeps the reachability decision current with probes and timers. */
export interface ReachabilityMonitor
    extends AsyncDisposable, Pick<UpstreamReachability, "reachesUpstreams" | "hasLiveConnections"> {
    readonly recordConnection: () => void;
    readonly recordFailure: (upstreamId: UpstreamId) => void;
    readonly watchSend: (send: {
        readonly upstreamId: UpstreamId;
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
