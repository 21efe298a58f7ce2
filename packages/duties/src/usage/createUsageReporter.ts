import { type AccountId, createFailure, ErrorCode, type Failure, type FencingNumber } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import { parseStoredReport } from "./parseStoredReport";
import type { StoredReport } from "./storedReport";
import type { UsageReporter } from "./usageReporter";
import type { UsageReporterOptions } from "./usageReporterOptions";

/** Reports are stored under a ring of keys; a key is reused after this many windows. */
const RING_SIZE = 64;

/** Delay after the end of a window in which requests that began near its end are counted and reported to peers. */
const SETTLING_DELAY_MS = 1_000;

/** Fraction of the due time after which a report no longer waits for peers that have not reported. */
const MAXIMUM_WAIT_SHARE = 0.6;

/** Past windows that a new lease holder checks for missing reports. */
const LOOK_BACK_WINDOWS = 4;

const toCounts = ({ counts }: StoredReport): ReadonlyMap<AccountId, number> =>
    new Map(Object.entries(counts).map(([id, count]) => [id as AccountId, count]));

/** Creates a reporter that has reported no window yet. */
export const createUsageReporter = (options: UsageReporterOptions): UsageReporter => {
    const { store, api, counts, records, windowMs } = options;
    const completed = new Set<number>();
    /** Cluster time since which records of windows can't have been lost without this host noticing. */
    let recordsKnownSinceMs = options.nowMs();
    options.storeEpoch.onRise(() => {
        recordsKnownSinceMs = options.nowMs();
    });

    const complete = (window: number): void => {
        completed.add(window);
        [...completed].filter(old => old <= window - RING_SIZE).forEach(old => completed.delete(old));
    };

    const isDue = (window: number): boolean => {
        const endMs = (window + 1) * windowMs;
        const ageMs = options.nowMs() - endMs;
        const isSettled = ageMs >= SETTLING_DELAY_MS
            && options.haveAllPeersReportedSince(endMs + SETTLING_DELAY_MS / 2);
        return isSettled || ageMs >= options.dueMs * MAXIMUM_WAIT_SHARE;
    };

    const dueWindows = (): readonly number[] => {
        const latest = counts.windowOf(options.nowMs()) - 1;
        return Array.from({ length: LOOK_BACK_WINDOWS }, (_, index) => latest - LOOK_BACK_WINDOWS + 1 + index)
            .filter(window => !completed.has(window) && isDue(window));
    };

    /** Whether counts of a window that nobody knows of any more may have been sent before the store was restored. */
    const mayBeLost = (window: number): boolean => (window + 1) * windowMs < recordsKnownSinceMs;

    /**
     * Stores the counts of a window, or returns those already stored; undefined if other counts may have been sent.
     * Fails if counts of a later window are stored.
     */
    const storeCounts = async (window: number): Promise<Result<StoredReport | undefined, Failure>> => {
        const key = `${options.keyPrefix}${window % RING_SIZE}`;
        const existing = await store.get(key, { cause: "duty" });
        if (existing.err) {
            return existing;
        }
        const stored = existing.val === undefined ? undefined : parseStoredReport(existing.val.value);
        if (stored !== undefined && stored.window >= window) {
            return stored.window === window ? Ok(stored) : Err(createFailure(ErrorCode.KeyValueConflict));
        }
        const known = records.countsOf(window);
        if (known === undefined && mayBeLost(window)) {
            return Ok(undefined);
        }
        const report: StoredReport = { window, counts: Object.fromEntries(known ?? counts.total(window)) };
        records.remember(window, toCounts(report), true);
        const written = await store.compareAndSwap(
            { key, expectedVersion: existing.val?.version ?? 0, value: JSON.stringify(report) },
            { cause: "duty" },
        );
        return written.map(() => report);
    };

    const report = async (window: number, fencingNumber: () => FencingNumber | undefined): Promise<void> => {
        const storedReport = await storeCounts(window);
        if (storedReport.err) {
            options.onFailure(window, "store", storedReport.val);
            return;
        }
        if (storedReport.val === undefined) {
            complete(window);
            options.onOmitted(window);
            return;
        }
        const reportCounts = toCounts(storedReport.val);
        records.remember(window, reportCounts, true);
        if (fencingNumber() === undefined) {
            return;
        }
        const sent = await api.reportUsage(window, reportCounts, fencingNumber);
        if (sent.err) {
            options.onFailure(window, "send", sent.val);
            return;
        }
        complete(window);
        const requests = [...reportCounts.values()].reduce((sum, count) => sum + count, 0);
        options.onReported(window, requests, options.nowMs() - (window + 1) * windowMs);
    };

    return {
        step: async fencingNumber => {
            for (const window of dueWindows()) {
                // Counts are stored even if they can't be sent now, so that a successor sends the same counts.
                await report(window, fencingNumber);
            }
        },
    };
};
