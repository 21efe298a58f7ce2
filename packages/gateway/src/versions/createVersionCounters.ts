import type { ServiceName, SoftwareVersion } from "@ibislanding/core";
import { match } from "ts-pattern";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { VersionCounters } from "./versionCounters";
import type { VersionCountersOptions } from "./versionCountersOptions";
import type { VersionCounts } from "./versionCounts";

interface Row {
    readonly service: ServiceName;
    readonly version: SoftwareVersion;
    readonly route: string;
    sent: number;
    answers: number;
    failures: number;
    slow: number;
    ended: number;
}

/** An answer is slow beyond this multiple of its prediction, if it is also later than the objective. */
const SLOW_FACTOR = 3;

/** Time until it is known whether an upstream that lost an answer has crashed: its address is probed for 500 ms. */
const CRASH_CHECK_MS = 600;

/** Route of requests that were sent before their service was counted. */
const UNCOUNTED_ROUTE = "";

const toCounts = ({ service, version, route, sent, answers, failures, slow, ended }: Row): VersionCounts => [
    service,
    version,
    route,
    sent,
    answers,
    failures,
    slow,
    ended,
];

/**
 * Creates counters without runs.
 *
 * Handles versions that fail or are slow. A crash or a departure of an upstream ends all answers under way there, which is no
 * evidence against its version; it counts as one failure. An answer is counted as slow when it is overdue, not when it
 * arrives, so that a version that hangs is found out as soon as one that fails.
 */
export const createVersionCounters = (
    { clock, upstreams, isCounted }: VersionCountersOptions,
): VersionCounters => {
    const countedServices = new Set<ServiceName>();
    const rows = new Map<string, Row>();
    /** Starts of upstreams whose end was counted as a failure. */
    const endedStarts = new Set<string>();

    const rowOf = (service: ServiceName, version: SoftwareVersion, route: string): Row => {
        const key = `${service}\u0000${version}\u0000${route}`;
        const row = rows.get(key)
            ?? { service, version, route, sent: 0, answers: 0, failures: 0, slow: 0, ended: 0 };
        rows.set(key, row);
        return row;
    };

    /** Returns whether a service is counted; when that begins, earlier requests only count while they run. */
    const checkCounted = (service: ServiceName): boolean => {
        if (!countedServices.has(service) && isCounted(service)) {
            countedServices.add(service);
            [...rows.values()].filter(row => row.service === service).forEach(row => {
                row.sent -= row.ended;
                row.ended = 0;
            });
        }
        return countedServices.has(service);
    };

    const recordLoss = (row: Row, upstream: UpstreamRecord): void => {
        clock.setTimer(CRASH_CHECK_MS, () => {
            const key = `${upstream.upstreamId}/${upstream.startedAtMs}`;
            const hasEnded = upstreams.isDeparting(upstream) || upstreams.hasCrashed(upstream);
            if (hasEnded && (endedStarts.has(key) || upstreams.isLeaving(upstream))) {
                return;
            }
            if (hasEnded) {
                endedStarts.add(key);
            }
            row.failures++;
        });
    };

    return {
        trackRun: ({ upstream, route, isStream, objectiveMs, typicalMs }) => {
            const { service, softwareVersion } = upstream;
            if (!checkCounted(service)) {
                const row = rowOf(service, softwareVersion, UNCOUNTED_ROUTE);
                row.sent++;
                let isRunning = true;
                return {
                    recordFirstEvent: () => undefined,
                    end: () => {
                        row.ended += isRunning ? 1 : 0;
                        isRunning = false;
                    },
                };
            }
            const row = rowOf(service, softwareVersion, route);
            row.sent++;
            let isSlow = false;
            let isAnswered = false;
            let isEnded = false;
            const countAnswer = (): void => {
                overdue.cancel();
                row.answers += isAnswered ? 0 : 1;
                isAnswered = true;
            };
            const overdue = clock.setTimer(Math.max(objectiveMs, SLOW_FACTOR * typicalMs()), () => {
                countAnswer();
                row.slow++;
                isSlow = true;
            });
            return {
                recordFirstEvent: () => {
                    if (isStream) {
                        countAnswer();
                    }
                },
                end: outcome => {
                    if (isEnded) {
                        return;
                    }
                    isEnded = true;
                    row.ended++;
                    overdue.cancel();
                    match(outcome)
                        .with("answered", countAnswer)
                        .with("failed", () => {
                            countAnswer();
                            row.failures += isSlow ? 0 : 1;
                        })
                        .with("lost", () => {
                            countAnswer();
                            if (!isSlow) {
                                recordLoss(row, upstream);
                            }
                        })
                        .with("not-run", "aborted", () => undefined)
                        .exhaustive();
                },
            };
        },
        rows: () => [...rows.values()].filter(({ service, sent }) => checkCounted(service) && sent > 0).map(toCounts),
    };
};
