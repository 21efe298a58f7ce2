import { backoffDelayMs, ErrorCode, type Failure, measureElapsedMs } from "@ibislanding/core";
import type { KeyValueSnapshot } from "@ibislanding/platform";
import type { Result } from "ts-results";
import { applyChanges } from "./applyChanges";
import type { DocumentSet } from "./documentSet";
import type { DocumentWatcher } from "./documentWatcher";
import type { DocumentWatcherOptions } from "./documentWatcherOptions";
import { isNewerPosition } from "./isNewerPosition";
import { replaceDocuments } from "./replaceDocuments";

/** Time allowed for a watch response after its wait has ended: several response times of a slow store. */
const WATCH_TIMEOUT_MARGIN_MS = 800;

const SNAPSHOT_TIMEOUT_MS = 1_000;

/** Growth of the time-out of snapshots that replace a known set, from that of a refresh: a large set may take longer. */
const SNAPSHOT_TIMEOUT_GROWTH = 2;

/** Backoff after failed calls; the first retry is well within the time in which changes must take effect. */
const RETRY_BACKOFF = { initialDelayMs: 50, maximumDelayMs: 600 };

/** Wait of a call that only asks whether there are newer changes. */
const MINIMUM_WAIT_MS = 1;

/** Interval at which a paused watcher checks whether it has to watch the store again. */
const RELAY_CHECK_MS = 1_000;

/** Creates a watcher for one prefix and starts it. */
export const createDocumentWatcher = (options: DocumentWatcherOptions): DocumentWatcher => {
    const { history, storeEpoch, prefix, clock, random } = options;
    const stop = new AbortController();
    let current: DocumentSet | undefined;
    let needsSnapshot = true;
    /** Ends the wait in progress, be it at the store or for the end of the relay. */
    let wait = new AbortController();
    let refresh: "none" | "due" | "running" = "none";
    let isStoreReachable = true;
    let consecutiveFailures = 0;
    /** Time since the set was known to be the newest by a call of this watcher. */
    let confirmedAgeMs = (): number => Infinity;

    const update = (next: DocumentSet, source: "store" | "peer"): void => {
        // Other documents of the store change its revision, too.
        const changed = next.epoch !== current?.epoch || next.entries.size !== current.entries.size
            || next.revision !== current.revision && (next.changedRevision ?? next.revision) > current.revision;
        current = next;
        if (changed) {
            try {
                options.onChange(next, source);
            }
            catch (error) {
                // The next change is applied all the same.
                options.onChangeFailed(error);
            }
        }
    };

    const confirm = (agoMs: number): void => {
        if (!needsSnapshot) {
            const elapsedMs = measureElapsedMs(clock);
            confirmedAgeMs = () => agoMs + elapsedMs();
            options.onConfirmed?.(agoMs);
        }
    };

    /** Time until the set is as old as a whole wait: an answer with changes confirms it from the sending of the call only. */
    const remainingWaitMs = (): number => Math.max(0, options.watchWaitMs() - confirmedAgeMs());

    const setReachable = (isReachable: boolean, reason: string): void => {
        if (isReachable !== isStoreReachable) {
            isStoreReachable = isReachable;
            options.onReachabilityChange(isReachable, reason);
        }
    };

    const snapshotTimeoutMs = (): number =>
        current === undefined
            ? SNAPSHOT_TIMEOUT_MS
            : Math.min(
                SNAPSHOT_TIMEOUT_MS,
                options.refreshTimeoutMs() * SNAPSHOT_TIMEOUT_GROWTH ** consecutiveFailures,
            );

    const loadSnapshot = async (): Promise<Result<boolean, Failure>> => {
        const elapsedMs = measureElapsedMs(clock);
        const result = await history.snapshot(prefix, {
            cause: "discovery",
            timeoutMs: snapshotTimeoutMs(),
            signal: stop.signal,
        });
        return result.map(snapshot => {
            // The epoch may have risen again while the pages were read.
            needsSnapshot = snapshot.epoch < storeEpoch.current();
            update(replaceDocuments(current, snapshot), "store");
            confirm(elapsedMs());
            return false;
        });
    };

    /** Waits for changes after the known revision, up to the given time; returns whether there were any. */
    const watch = async (
        known: DocumentSet,
        waitMs: number,
        timeoutMs: number,
    ): Promise<Result<boolean, Failure>> => {
        const elapsedMs = measureElapsedMs(clock);
        wait = new AbortController();
        const result = await history.changesAfter(prefix, known.revision, waitMs, {
            cause: "discovery",
            timeoutMs,
            signal: AbortSignal.any([stop.signal, wait.signal]),
        });
        return result.map(changes => {
            const latest = current ?? known;
            if (changes.epoch !== latest.epoch) {
                // The changes continue another history than that of the known set.
                needsSnapshot = needsSnapshot || changes.epoch > latest.epoch;
                return false;
            }
            if (changes.changes.length > 0 || changes.revision > latest.revision) {
                update(applyChanges(latest, changes), "store");
            }
            const isEmpty = changes.changes.length === 0;
            const tookMs = elapsedMs();
            // The store answers at once if there are changes, and otherwise after the wait; how long the answer was under way is not known.
            confirm(isEmpty && tookMs >= waitMs ? tookMs - waitMs : tookMs);
            return !isEmpty;
        });
    };

    const callStore = (): Promise<Result<boolean, Failure>> => {
        if (needsSnapshot || current === undefined) {
            return loadSnapshot();
        }
        // The store takes whole milliseconds only.
        const waitMs = Math.max(MINIMUM_WAIT_MS, Math.round(remainingWaitMs()));
        return refresh === "running"
            ? watch(current, MINIMUM_WAIT_MS, options.refreshTimeoutMs())
            : watch(current, waitMs, waitMs + WATCH_TIMEOUT_MARGIN_MS);
    };

    const step = async (): Promise<void> => {
        if (refresh === "none" && !needsSnapshot && current !== undefined && options.isRelayed()) {
            wait = new AbortController();
            await clock.sleep(RELAY_CHECK_MS, AbortSignal.any([stop.signal, wait.signal]));
            return;
        }
        refresh = refresh === "due" ? "running" : refresh;
        const result = await callStore();
        refresh = refresh === "running" ? "none" : refresh;
        if (result.ok) {
            consecutiveFailures = 0;
            setReachable(true, "answered");
            if (result.val) {
                await clock.sleep(Math.min(options.batchDelayMs(), remainingWaitMs()), stop.signal);
            }
            return;
        }
        if (wait.signal.aborted) {
            return;
        }
        needsSnapshot = needsSnapshot || result.val.code === ErrorCode.HistoryLost;
        if (result.val.code !== ErrorCode.HistoryLost) {
            setReachable(false, result.val.code);
            await clock.sleep(backoffDelayMs(consecutiveFailures++, RETRY_BACKOFF, random), stop.signal);
        }
    };

    const restart = (): void => {
        needsSnapshot = true;
        wait.abort();
    };
    const stopObservingEpoch = storeEpoch.onRise(restart);

    const run = async (): Promise<void> => {
        while (!stop.signal.aborted) {
            await step();
        }
    };
    const running = run();

    return {
        current: () => current,
        offer: (snapshot: KeyValueSnapshot) => {
            if (isNewerPosition(snapshot, current)) {
                update(replaceDocuments(current, snapshot), "peer");
            }
        },
        advance: ({ epoch, revision }, changedRevision) => {
            if (
                current !== undefined && current.epoch === epoch && current.revision < revision
                && current.revision >= changedRevision
            ) {
                current = { ...current, revision, changedRevision: current.changedRevision ?? current.revision };
            }
        },
        isStoreReachable: () => isStoreReachable,
        refresh: () => {
            if (refresh === "none" && !needsSnapshot) {
                refresh = "due";
                wait.abort();
            }
        },
        [Symbol.asyncDispose]: async () => {
            stopObservingEpoch();
            stop.abort();
            await running;
        },
    };
};
