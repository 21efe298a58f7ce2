import type { RecentProgress } from "./recentProgress";
import type { UpstreamRecord } from "./upstreamRecord";

/** State that a host keeps for one upstream. */
export interface UpstreamState {
    record: UpstreamRecord;
    /** Hash of the upstream's id. */
    readonly idHash: number;
    /**
     * Set while the registry does not list the upstream although it gave no leave notice, when it is used only as a last
     * resort: the monotonic time from which on it counts as gone.
     */
    missingUntilMs: number | undefined;
    /** Monotonic time of its last answer that did not state that it is leaving. */
    confirmedAtMs: number;
    /** Monotonic time at which this start was found to have crashed; undefined if it was not. */
    crashedAtMs: number | undefined;
    running: number;
    backlogTokens: number;
    /** Monotonic time at which the backlog was last known to shrink. */
    lastProgressAtMs: number;
    /** Requests without a first byte yet, with the monotonic time for which it was predicted. */
    readonly pendingFirstBytes: Set<{ readonly predictedAtMs: number; }>;
    /** Moving average of the lateness of first bytes, and when it was last updated. */
    latenessMs: number;
    latenessUpdatedAtMs: number;
    /** Monotonic time until which the upstream is ejected and receives no requests. */
    ejectedUntilMs: number;
    ejections: number;
    /** Monotonic time until which the upstream wants no requests from this host. */
    pausedUntilMs: number;
    /** Exponentially decayed counts of failures and successes. */
    failures: number;
    successes: number;
    decayedAtMs: number;
    /**
     * Moving average of measured times to the first event, relative to the prediction of the service's prompt model.
     */
    slowdown: number;
    /** Recent progress of this host's streams, if the upstream is an engine. */
    readonly progress: RecentProgress;
    /** Moving average of the connection set-up time, as an estimate of network distance. */
    roundTripMs: number | undefined;
    /**
     * Moving average of the response time, for upstreams that are not engines; streams are measured to the first byte.
     */
    responseMs: number | undefined;
    /** Connections of this host to this start, with those that are being opened, and those that the upstream has accepted. */
    openConnections: number;
    establishedConnections: number;
    /** Monotonic time since which there has always been an established connection. */
    connectedSinceMs: number;
}
