import type { CallerAttempt } from "../records/callerAttempt";
import type { SoakRecords } from "../records/soakRecords";
import { createConnectivityCheck } from "./createConnectivityCheck";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Tolerance within which overlapping requests may use an older version after a newer one. */
const OVERLAP_MS = 250;

interface VersionObservation {
    readonly attempt: CallerAttempt;
    readonly version: number;
    readonly ranAtMs: number;
}

/**
 * Derives the version that each request used. Each version moves one route to a service that no neighbouring version
 * uses, so the service that executed the request identifies the version.
 */
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

/**
 * Checks that versions never decrease within a host process and, if bounds are given, that connected hosts apply each
 * version in time.
 */
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
                detail: `${attempt.hostName} used version ${version} when ${due.version} was due`,
            }]
            : [];
    });
    return [...regressions, ...stale];
};
