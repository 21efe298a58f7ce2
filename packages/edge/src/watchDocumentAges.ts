import type { Clock } from "@ibislanding/core";
import type { EventLog } from "@ibislanding/runtime";
import { refreshDueInMs } from "./refreshDueInMs";

/** Bounds on the time between two checks: while a refresh is due, and until the next one can be. */
const MINIMUM_INTERVAL_MS = 50;
const MAXIMUM_INTERVAL_MS = 500;

/**
 * Asks the store for sets of documents that are about to become outdated, until the signal aborts; logs when the age of a set
 * exceeds the time within which a change must be in force, and when the set is confirmed again. `ages` returns the age of each set.
 *
 * Handles waits for changes that were lost without a sign, and whatever delays the news on its way through other hosts: neither
 * has to be noticed by those who caused it.
 */
export const watchDocumentAges = async (
    { clock, log, ages, inForceMs, refresh }: {
        readonly clock: Clock;
        readonly log: EventLog;
        readonly ages: () => ReadonlyMap<string, number>;
        readonly inForceMs: number;
        readonly refresh: (set: string) => void;
    },
    signal: AbortSignal,
): Promise<void> => {
    const outdated = new Set<string>();
    const startedAtMs = clock.monotonicMs();
    let intervalMs = MINIMUM_INTERVAL_MS;
    while (!signal.aborted) {
        await clock.sleep(intervalMs, signal);
        intervalMs = MAXIMUM_INTERVAL_MS;
        const uptimeMs = clock.monotonicMs() - startedAtMs;
        ages().forEach((knownMs, set) => {
            // A set that was never confirmed is as old as the process.
            const ageMs = Math.min(knownMs, uptimeMs);
            const dueInMs = refreshDueInMs(ageMs, inForceMs);
            intervalMs = Math.min(intervalMs, Math.max(MINIMUM_INTERVAL_MS, dueInMs));
            if (dueInMs <= 0) {
                refresh(set);
            }
            if (ageMs > inForceMs !== outdated.has(set)) {
                log.write(ageMs > inForceMs ? "documents_outdated" : "documents_confirmed", {
                    set,
                    ageMs: Math.round(ageMs),
                });
                outdated[ageMs > inForceMs ? "add" : "delete"](set);
            }
        });
    }
};
