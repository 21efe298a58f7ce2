import type { SoakRecords } from "../records/soakRecords";
import { createConnectivityCheck } from "./createConnectivityCheck";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Checks that connected hosts stop sending to a draining upstream within the bound after the store accepted it. */
export const checkLeaving = (records: SoakRecords, bounds: TimeBounds | undefined): readonly Violation[] => {
    if (bounds === undefined) {
        return [];
    }
    const byId = new Map(records.attempts.map(attempt => [attempt.requestId, attempt]));
    const wasConnected = createConnectivityCheck(records, bounds);
    return records.leaving.flatMap(({ upstreamId, acceptedAtMs }) =>
        records.runs.flatMap(run => {
            const attempt = byId.get(run.requestId);
            return run.upstreamId === upstreamId && run.atMs > acceptedAtMs + bounds.leavingMs
                    && attempt !== undefined && wasConnected(attempt.hostName, acceptedAtMs, run.atMs)
                ? [{
                    check: "leaving",
                    subject: run.requestId,
                    detail: `${upstreamId} got the request ${
                        Math.round(run.atMs - acceptedAtMs)
                    } ms after it started draining`,
                }]
                : [];
        })
    );
};
