import { backoffDelayMs, ErrorCode, type Failure } from "@ibislanding/core";
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

/** Backoff after failed calls; the first retry is well within the time in which changes must take effect. */
const RETRY_BACKOFF = { initialDelayMs: 50, maximumDelayMs: 600 };

/** Interval at which a paused watcher checks whether it has to watch the store again. */
const RELAY_CHECK_MS = 1_000;

/** Creates a watcher for one prefix and starts it. */
export const createDocumentWatcher = (options: DocumentWatcherOptions): DocumentWatcher => {
    const { history, storeEpoch, prefix, clock, random } = options;
    const stop = new AbortController();
    let current: DocumentSet | undefined;
    let needsSnapshot = true;
    let watchCall = new AbortController();
    let isStoreReachable = true;
    let consecutiveFailures = 0;

    const update = (next: DocumentSet, source: "store" | "peer"): void => {
        const changed = next.epoch !== current?.epoch || next.revision !== current.revision
            || next.entries.size !== current.entries.size;
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

    const confirm = (): void => {
        if (!needsSnapshot) {
            options.onConfirmed?.();
        }
    };

    const setReachable = (isReachable: boolean, reason: string): void => {
        if (isReachable !== isStoreReachable) {
            isStoreReachable = isReachable;
            options.onReachabilityChange(isReachable, reason);
        }
    };

    const loadSnapshot = async (): Promise<Result<boolean, Failure>> => {
        const result = await history.snapshot(prefix, {
            cause: "discovery",
            timeoutMs: SNAPSHOT_TIMEOUT_MS,
            signal: stop.signal,
        });
        return result.map(snapshot => {
            // The epoch may have risen again while the pages were read.
            needsSnapshot = snapshot.epoch < storeEpoch.current();
            update(replaceDocuments(current, snapshot), "store");
            confirm();
            return false;
        });
    };

    /** Waits for changes after the known revision; returns whether there were any. */
    const watch = async (known: DocumentSet): Promise<Result<boolean, Failure>> => {
        const waitMs = options.watchWaitMs();
        watchCall = new AbortController();
        const result = await history.changesAfter(prefix, known.revision, waitMs, {
            cause: "discovery",
            timeoutMs: waitMs + WATCH_TIMEOUT_MARGIN_MS,
            signal: AbortSignal.any([stop.signal, watchCall.signal]),
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
            confirm();
            return changes.changes.length > 0;
        });
    };

    const step = async (): Promise<void> => {
        if (!needsSnapshot && current !== undefined && options.isRelayed()) {
            await clock.sleep(RELAY_CHECK_MS, stop.signal);
            return;
        }
        const result = await (needsSnapshot || current === undefined ? loadSnapshot() : watch(current));
        if (result.ok) {
            consecutiveFailures = 0;
            setReachable(true, "answered");
            if (result.val) {
                await clock.sleep(options.batchDelayMs(), stop.signal);
            }
            return;
        }
        if (watchCall.signal.aborted) {
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
        watchCall.abort();
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
        isStoreReachable: () => isStoreReachable,
        [Symbol.asyncDispose]: async () => {
            stopObservingEpoch();
            stop.abort();
            await running;
        },
    };
};
