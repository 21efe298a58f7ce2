import type { UpstreamRecord } from "./upstreamRecord";
import type { UpstreamState } from "./upstreamState";

/** Creates the state of a newly registered upstream, without load, samples or failures. */
export const createUpstreamState = (record: UpstreamRecord, idHash: number, nowMs: number): UpstreamState => ({
    record,
    idHash,
    missingUntilMs: undefined,
    confirmedAtMs: -Infinity,
    crashedAtMs: undefined,
    running: 0,
    backlogTokens: 0,
    lastProgressAtMs: nowMs,
    pendingFirstBytes: new Set(),
    latenessMs: 0,
    latenessUpdatedAtMs: nowMs,
    ejectedUntilMs: -Infinity,
    ejections: 0,
    pausedUntilMs: -Infinity,
    failures: 0,
    successes: 0,
    decayedAtMs: nowMs,
    slowdown: 1,
    progress: { expectedMs: 0, actualMs: 0, updatedAtMs: nowMs },
    roundTripMs: undefined,
    responseMs: undefined,
    openConnections: 0,
    establishedConnections: 0,
    connectedSinceMs: nowMs,
});
