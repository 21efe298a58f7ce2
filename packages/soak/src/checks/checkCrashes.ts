import type { CrashCause } from "../records/crashCause";
import type { SoakRecords } from "../records/soakRecords";
import { createConnectivityCheck } from "./createConnectivityCheck";
import { groupBy } from "./groupBy";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Crashes under one cause after which connected hosts must know it. */
const CRASHES: Readonly<Record<CrashCause["kind"], number>> = { part: 5, request: 3 };

/** Requests with the cause that may still be sent to upstreams then. */
const MAXIMUM_RUNS = 3;

/** Checks that connected hosts send few requests to upstreams once the same cause has crashed some of them. */
export const checkCrashes = (records: SoakRecords, bounds: TimeBounds | undefined): readonly Violation[] => {
    if (bounds === undefined) {
        return [];
    }
    const wasConnected = createConnectivityCheck(records, bounds);
    const byId = new Map(records.attempts.map(attempt => [attempt.requestId, attempt]));
    return [...groupBy(records.crashes, ({ cause }) => `${cause.kind} ${cause.name}`)].flatMap(([subject, crashes]) => {
        const [first] = crashes;
        if (first === undefined) {
            return [];
        }
        const { kind, name } = first.cause;
        const knownAtMs = (crashes[CRASHES[kind] - 1]?.atMs ?? Infinity) + bounds.contactMs;
        const late = records.runs.filter(({ requestId, atMs }) => {
            const attempt = byId.get(requestId);
            return attempt?.crashCause?.kind === kind && attempt.crashCause.name === name && atMs > knownAtMs
                && wasConnected(attempt.hostName, atMs, atMs);
        });
        return late.length <= MAXIMUM_RUNS ? [] : [{
            check: `crashing-${kind}`,
            subject,
            detail: `${late.length} requests reached upstreams later than ${bounds.contactMs} ms after crash ${
                CRASHES[kind]
            }`,
        }];
    });
};
