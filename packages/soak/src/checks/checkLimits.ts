import type { SoakRecords } from "../records/soakRecords";
import { createConnectivityCheck } from "./createConnectivityCheck";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

const WINDOW_MS = 4_000;

/** Requests that connected hosts may send within a window, as a multiple of what the limit allows, and in addition. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;

const MS_PER_S = 1_000;

/** Checks that connected hosts together keep the limits that upstreams state. */
export const checkLimits = (records: SoakRecords, bounds: TimeBounds | undefined): readonly Violation[] => {
    if (bounds === undefined) {
        return [];
    }
    const wasConnected = createConnectivityCheck(records, bounds);
    const byId = new Map(records.attempts.map(attempt => [attempt.requestId, attempt]));
    return records.limits.flatMap(({ upstreamId, limitPerS, fromMs, untilMs }) => {
        const timesMs = records.runs.filter(run => {
            const attempt = byId.get(run.requestId);
            return run.upstreamId === upstreamId && run.atMs >= fromMs + bounds.contactMs && run.atMs < untilMs
                && attempt !== undefined && wasConnected(attempt.hostName, run.atMs, run.atMs);
        }).map(({ atMs }) => atMs);
        const most = Math.max(
            0,
            ...timesMs.map(startMs => timesMs.filter(atMs => atMs >= startMs && atMs < startMs + WINDOW_MS).length),
        );
        const allowed = limitPerS * WINDOW_MS / MS_PER_S * TOLERATED_FACTOR + TOLERATED_REQUESTS;
        return most <= allowed ? [] : [{
            check: "limit",
            subject: upstreamId,
            detail: `got ${most} requests in ${WINDOW_MS} ms at a limit of ${limitPerS} a second`,
        }];
    });
};
