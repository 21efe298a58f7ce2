import type { SoakRecords } from "../records/soakRecords";
import { createConnectivityCheck } from "./createConnectivityCheck";
import { groupBy } from "./groupBy";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Crashes under one part after which connected hosts must know it, and requests with it that may still be sent. */
const CRASHES = 5;
const MAXIMUM_RUNS = 3;

/** Checks that connected hosts send few requests with a prompt part to upstreams once it has crashed five of them. */
export const checkCrashingParts = (records: SoakRecords, bounds: TimeBounds | undefined): readonly Violation[] => {
    if (bounds === undefined) {
        return [];
    }
    const wasConnected = createConnectivityCheck(records, bounds);
    const byId = new Map(records.attempts.map(attempt => [attempt.requestId, attempt]));
    return [...groupBy(records.crashes, ({ part }) => part)].flatMap(([part, crashes]) => {
        const knownAtMs = (crashes[CRASHES - 1]?.atMs ?? Infinity) + bounds.contactMs;
        const late = records.runs.filter(({ requestId, atMs }) => {
            const attempt = byId.get(requestId);
            return attempt?.crashingPart === part && atMs > knownAtMs && wasConnected(attempt.hostName, atMs, atMs);
        });
        return late.length <= MAXIMUM_RUNS ? [] : [{
            check: "crashing-part",
            subject: part,
            detail: `${late.length} requests reached upstreams later than ${bounds.contactMs} ms after the fifth crash`,
        }];
    });
};
