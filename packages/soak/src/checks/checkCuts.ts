import type { CallerAttempt } from "../records/callerAttempt";
import type { SoakRecords } from "../records/soakRecords";
import { createConnectivityCheck } from "./createConnectivityCheck";
import type { TimeBounds } from "./timeBounds";
import type { Violation } from "./violation";

/** Share of the attempts that cut-off hosts must serve, as a part of the share that the others serve. */
const MINIMUM_RELATIVE_SHARE = 2 / 3;

/** Attempts that may fail at cut-off hosts in any case, and as a share of the attempts at all hosts. */
const TOLERATED_FAILURES = 10;
const TOLERATED_FAILURE_SHARE = 1 / 50;

/** Attempts at the other hosts without which the shares are not compared. */
const MINIMUM_ATTEMPTS = 20;

const countServed = (attempts: readonly CallerAttempt[]): number =>
    attempts.filter(({ status, isComplete }) => status === 200 && isComplete).length;

/** Checks that connected hosts which reach few upstreams or none serve their callers nearly as often as the others do. */
export const checkCuts = (records: SoakRecords, bounds: TimeBounds | undefined): readonly Violation[] => {
    if (bounds === undefined) {
        return [];
    }
    const wasConnected = createConnectivityCheck(records, bounds);
    return records.cuts.flatMap(({ hostNames, fromMs, untilMs }) => {
        const attempts = records.attempts.filter(({ sentAtMs, endedAtMs, hostName, hasLeft, crashCause }) =>
            sentAtMs >= fromMs + bounds.contactMs && endedAtMs < untilMs && !hasLeft && crashCause === undefined
            && wasConnected(hostName, sentAtMs, endedAtMs)
        );
        const cutOff = attempts.filter(({ hostName }) => hostNames.has(hostName));
        // Hosts that another cut affects are no measure.
        const others = attempts.filter(({ hostName, sentAtMs }) =>
            !records.cuts.some(cut =>
                cut.hostNames.has(hostName) && cut.fromMs <= sentAtMs && cut.untilMs >= sentAtMs - bounds.contactMs
            )
        );
        const [served, servedByOthers] = [countServed(cutOff), countServed(others)];
        const isServedLess = others.length >= MINIMUM_ATTEMPTS
            && served * others.length < servedByOthers * cutOff.length * MINIMUM_RELATIVE_SHARE;
        const isTolerated = cutOff.length - served <= TOLERATED_FAILURES + attempts.length * TOLERATED_FAILURE_SHARE;
        return !isServedLess || isTolerated ? [] : [{
            check: "cut-off",
            subject: [...hostNames].join(" "),
            detail:
                `served ${served} of ${cutOff.length} requests, the other hosts ${servedByOthers} of ${others.length}`,
        }];
    });
};
