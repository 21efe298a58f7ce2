import type { SoakRecords } from "../records/soakRecords";
import { createConnectivityCheck } from "./createConnectivityCheck";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Checks that hosts in touch send nothing to an upstream some time after its leaving was accepted. */
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
                    detail: `${upstreamId} got it ${Math.round(run.atMs - acceptedAtMs)} ms after its leaving`,
                }]
                : [];
        })
    );
};
