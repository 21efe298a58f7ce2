import type { CallerAttempt } from "../records/callerAttempt";
import type { SoakRecords } from "../records/soakRecords";
import { createConnectivityCheck } from "./createConnectivityCheck";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Time in which requests that overlap may show an older version after a newer one. */
const OVERLAP_MS = 250;

interface VersionObservation {
    readonly attempt: CallerAttempt;
    readonly version: number;
    readonly ranAtMs: number;
}

/** Each version moves one route to a service that no version near it names, so a run shows its version. */
const listVersionObservations = ({ attempts, runs, changes }: SoakRecords): readonly VersionObservation[] => {
    const byId = new Map(attempts.map(attempt => [attempt.requestId, attempt]));
    return runs.flatMap(({ requestId, service, atMs }) => {
        const attempt = byId.get(requestId);
        const change = changes.findLast(({ movingService, acceptedAtMs }) =>
            movingService === service && acceptedAtMs <= atMs + OVERLAP_MS
        );
        return attempt === undefined || change === undefined
            ? []
            : [{ attempt, version: change.version, ranAtMs: atMs }];
    });
};

/** Checks that versions go up at each process, and that each is in force in time at hosts in touch. */
export const checkConfiguration = (records: SoakRecords, bounds: TimeBounds | undefined): readonly Violation[] => {
    const observations = [...listVersionObservations(records)].sort((left, right) => left.ranAtMs - right.ranAtMs);
    const regressions = observations.flatMap(({ attempt, version }) => {
        const newer = observations.find(earlier =>
            earlier.attempt.hostName === attempt.hostName && earlier.attempt.hostStart === attempt.hostStart
            && earlier.version > version && earlier.ranAtMs + OVERLAP_MS < attempt.sentAtMs
        );
        return newer === undefined ? [] : [{
            check: "no-regression",
            subject: attempt.requestId,
            detail: `${attempt.hostName} used version ${version} after ${newer.version}`,
        }];
    });
    if (bounds === undefined) {
        return regressions;
    }
    const wasConnected = createConnectivityCheck(records, bounds);
    const stale = observations.flatMap(({ attempt, version }) => {
        const due = records.changes.findLast(({ acceptedAtMs }) => acceptedAtMs + bounds.inForceMs < attempt.sentAtMs);
        return due !== undefined && version < due.version
                && wasConnected(attempt.hostName, due.acceptedAtMs, attempt.endedAtMs)
            ? [{
                check: "in-force",
                subject: attempt.requestId,
                detail: `${attempt.hostName} used version ${version} and not ${due.version}`,
            }]
            : [];
    });
    return [...regressions, ...stale];
};
