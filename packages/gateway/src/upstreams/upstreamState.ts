import type { UpstreamRecord } from "./upstreamRecord";

/** What a host knows of one upstream beyond its record. */
export interface UpstreamState {
    record: UpstreamRecord;
    /** Hash of the upstream's id. */
    readonly idHash: number;
    /** Monotonic time at which the record vanished without a notice; the upstream is a last resort from then on. */
    missingSinceMs: number | undefined;
    running: number;
    backlogTokens: number;
    /** Monotonic time of the last sign that the backlog shrinks. */
    lastProgressAtMs: number;
    /** Requests that wait for their first byte, with the monotonic time by which it was predicted. */
    readonly pendingFirstBytes: Set<{ readonly predictedAtMs: number; }>;
    /** Smoothed time by which first bytes came later than predicted, and when it was last changed. */
    latenessMs: number;
    latenessUpdatedAtMs: number;
    /** Monotonic time until which no request is sent. */
    ejectedUntilMs: number;
    ejections: number;
    /** Recent failures and successes, decayed. */
    failures: number;
    successes: number;
    decayedAtMs: number;
    /** Smoothed time of first events against what the service's prompt model gives. */
    slowdown: number;
    /** Smoothed time of a connection's set-up, a measure of distance. */
    roundTripMs: number | undefined;
    /** Smoothed time of plain answers. */
    responseMs: number | undefined;
    openConnections: number;
}
