import type { UpstreamRecord } from "./upstreamRecord";
import type { UpstreamState } from "./upstreamState";

/** Creates the state of an upstream of which nothing is known beyond its record. */
export const createUpstreamState = (record: UpstreamRecord, idHash: number, nowMs: number): UpstreamState => ({
    record,
    idHash,
    vanishedAtMs: undefined,
    running: 0,
    backlogTokens: 0,
    progressAtMs: nowMs,
    dueAtMs: new Set(),
    excessMs: 0,
    excessAtMs: nowMs,
    ejectedUntilMs: -Infinity,
    ejections: 0,
    failures: 0,
    successes: 0,
    scoredAtMs: nowMs,
    slowness: 1,
    roundTripMs: undefined,
    answerMs: undefined,
    openConnections: 0,
});
