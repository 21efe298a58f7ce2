import type { Clock } from "@ibislanding/core";
import type { EventLog } from "@ibislanding/runtime";

const CHECK_INTERVAL_MS = 100;

/**
 * Logs when the age of a set of documents exceeds the time within which a change must be in force, and when the set is confirmed
 * again, until the signal aborts. `ages` returns the age of each set by name.
 */
export const watchDocumentAges = async (
    { clock, log, ages, inForceMs }: {
        readonly clock: Clock;
        readonly log: EventLog;
        readonly ages: () => ReadonlyMap<string, number>;
        readonly inForceMs: number;
    },
    signal: AbortSignal,
): Promise<void> => {
    const outdated = new Set<string>();
    const startedAtMs = clock.monotonicMs();
    while (!signal.aborted) {
        await clock.sleep(CHECK_INTERVAL_MS, signal);
        const uptimeMs = clock.monotonicMs() - startedAtMs;
        ages().forEach((age, set) => {
            // A set that was never confirmed is as old as the process.
            const ageMs = Math.round(Math.min(age, uptimeMs));
            if (ageMs > inForceMs !== outdated.has(set)) {
                log.write(ageMs > inForceMs ? "documents_outdated" : "documents_confirmed", { set, ageMs });
                outdated[ageMs > inForceMs ? "add" : "delete"](set);
            }
        });
    }
};
