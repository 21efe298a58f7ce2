import { createFailure, createFakeClock, createRandom, ErrorCode, type Failure } from "@ibislanding/core";
import {
    createStoreEpoch,
    type KeyValueChanges,
    type KeyValueHistory,
    type KeyValueSnapshot,
} from "@ibislanding/platform";
import { Err, Ok, type Result } from "ts-results";
import { applyChanges, createDocumentWatcher, type DocumentSet, replaceDocuments } from "../src";
import { mergeChangedDocuments } from "../src/documents/mergeChangedDocuments";
import { selectChangedDocuments } from "../src/documents/selectChangedDocuments";

const entry = (key: string, version: number, value = `${key}@${version}`) => ({ key, value, version });

const set = (revision: number, ...entries: readonly ReturnType<typeof entry>[]): DocumentSet => ({
    epoch: 1,
    revision,
    entries: new Map(entries.map(one => [one.key, one])),
});

test("changes older than the snapshot do not overwrite its entries", () => {
    const current = set(10, entry("a", 9), entry("b", 4));
    const next = applyChanges(current, {
        epoch: 1,
        revision: 12,
        changes: [
            { kind: "written", entry: entry("a", 7) },
            { kind: "removed", key: "a", version: 8 },
            { kind: "removed", key: "b", version: 11 },
            { kind: "written", entry: entry("c", 12) },
        ],
    });
    expect([...next.entries.keys()].sort()).toEqual(["a", "c"]);
    expect(next.entries.get("a")?.version).toBe(9);
    expect(next.revision).toBe(12);
});

test("an older snapshot does not replace a newer set", () => {
    const current = set(10, entry("a", 9));
    expect(replaceDocuments(current, { epoch: 1, revision: 8, entries: [] })).toBe(current);
});

interface StoreResponses {
    readonly snapshots: Result<KeyValueSnapshot, Failure>[];
    readonly changes: Result<KeyValueChanges, Failure>[];
    /** Time that each answer is under way. */
    readonly answerAfterMs?: number;
    /** Time after which there are changes. */
    readonly changesAfterMs?: number;
}

const startWatcher = ({ snapshots, changes, answerAfterMs = 0, changesAfterMs = 0 }: StoreResponses) => {
    const clock = createFakeClock();
    const seen: { readonly revision: number; readonly source: string; }[] = [];
    const reachability: boolean[] = [];
    const calls: string[] = [];
    const waitsMs: number[] = [];
    const state = { isRelayed: false, hasFaultyReader: false, lostSnapshots: 0 };
    const failures: unknown[] = [];
    const confirmedMsAgo: number[] = [];
    const epoch = createStoreEpoch();
    epoch.observe(1);
    const history: KeyValueHistory = {
        snapshot: async (_prefix, options) => {
            calls.push("snapshot");
            if (calls.length > 1 && state.lostSnapshots > 0) {
                state.lostSnapshots--;
                await clock.sleep(options.timeoutMs ?? Infinity);
                return Err(createFailure(ErrorCode.KeyValueUnavailable));
            }
            await clock.sleep(answerAfterMs);
            return snapshots.shift() ?? Err(createFailure(ErrorCode.KeyValueUnavailable));
        },
        changesAfter: async (_prefix, revision, waitMs, options) => {
            calls.push(`changes after ${revision}`);
            waitsMs.push(waitMs);
            const next = changes.shift();
            if (next === undefined) {
                await clock.sleep(waitMs + answerAfterMs, options.signal);
                if (options.signal?.aborted === true) {
                    return Err(createFailure(ErrorCode.KeyValueUnavailable));
                }
                return Ok({ changes: [], epoch: epoch.current(), revision });
            }
            await clock.sleep(changesAfterMs, options.signal);
            return next;
        },
    };
    const watcher = createDocumentWatcher({
        history,
        storeEpoch: epoch,
        isRelayed: () => state.isRelayed,
        prefix: "p/",
        clock,
        random: createRandom(1),
        watchWaitMs: () => 2_000,
        refreshTimeoutMs: () => 300,
        batchDelayMs: () => 0,
        onChange: ({ revision }, source) => {
            seen.push({ revision, source });
            if (state.hasFaultyReader) {
                throw new Error("faulty");
            }
        },
        onConfirmed: agoMs => void confirmedMsAgo.push(agoMs),
        onChangeFailed: error => void failures.push(error),
        onReachabilityChange: isReachable => void reachability.push(isReachable),
    });
    return { clock, watcher, seen, reachability, calls, waitsMs, epoch, state, failures, confirmedMsAgo };
};

test("after lost history the watcher loads a snapshot immediately, without a backoff", async () => {
    const { clock, watcher, seen, calls, reachability } = startWatcher({
        snapshots: [
            Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] }),
            Ok({ epoch: 1, revision: 30, entries: [entry("b", 29)] }),
        ],
        changes: [Err(createFailure(ErrorCode.HistoryLost))],
    });
    await clock.advance(10);
    expect(calls.slice(0, 4)).toEqual(["snapshot", "changes after 5", "snapshot", "changes after 30"]);
    expect(seen.map(({ revision }) => revision)).toEqual([5, 30]);
    expect([...watcher.current()?.entries.keys() ?? []]).toEqual(["b"]);
    expect(reachability).toEqual([]);
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
});

// Guards against news that is late because a snapshot is awaited for longer than a refresh of the set may take.
test.each([[1, 350], [2, 1_050]])(
    "after lost history, and %i snapshots that get no answer, the set is known again after %i ms",
    async (lostSnapshots, withinMs) => {
        const { clock, watcher, seen, state } = startWatcher({
            snapshots: [
                Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] }),
                Ok({ epoch: 1, revision: 30, entries: [entry("b", 29)] }),
            ],
            changes: [Err(createFailure(ErrorCode.HistoryLost))],
        });
        state.lostSnapshots = lostSnapshots;
        await clock.advance(withinMs);
        expect(seen.map(({ revision }) => revision)).toEqual([5, 30]);
        const disposed = watcher[Symbol.asyncDispose]();
        await clock.advance(5_000);
        await disposed;
    },
);

// Guards against a wait for changes that was lost without a sign and is believed until its end.
test("a refresh ends the wait in progress, is not repeated until it has ended, and confirms the set", async () => {
    const { clock, watcher, calls, confirmedMsAgo } = startWatcher({
        snapshots: [Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] })],
        changes: [],
    });
    await clock.advance(500);
    watcher.refresh();
    watcher.refresh();
    await clock.advance(10);
    expect(calls).toEqual(["snapshot", "changes after 5", "changes after 5", "changes after 5"]);
    expect(confirmedMsAgo).toEqual([0, 0]);
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
});

test("a refresh asks the store also while a peer tells this host of changes", async () => {
    const { clock, watcher, calls, state, seen } = startWatcher({
        snapshots: [Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] })],
        changes: [
            Ok({ epoch: 1, revision: 6, changes: [] }),
            Ok({ epoch: 1, revision: 9, changes: [{ kind: "written", entry: entry("a", 9) }] }),
        ],
    });
    state.isRelayed = true;
    await clock.advance(300);
    const before = calls.length;
    watcher.refresh();
    await clock.advance(10);
    watcher.refresh();
    await clock.advance(10);
    expect(calls.length).toBe(before + 2);
    expect(seen.map(({ revision }) => revision)).toContain(9);
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
});

test("a set counts as confirmed from the sending of a call with changes, and from the end of a wait without", async () => {
    const { clock, watcher, confirmedMsAgo } = startWatcher({
        snapshots: [Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] })],
        changes: [],
        answerAfterMs: 700,
    });
    await clock.advance(750);
    expect(confirmedMsAgo).toEqual([700]);
    await clock.advance(2_700);
    expect(confirmedMsAgo).toEqual([700, 700]);
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
});

// Guards against a whole group that takes its list for old, as its collectors begin a full wait with what changes late in one confirmed.
test("a set that changed late in a wait is confirmed again when the wait would have ended", async () => {
    const { clock, watcher, confirmedMsAgo } = startWatcher({
        snapshots: [Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] })],
        changes: [Ok({ epoch: 1, revision: 9, changes: [{ kind: "written", entry: entry("a", 9) }] })],
        changesAfterMs: 1_500,
    });
    await clock.advance(1_990);
    expect(confirmedMsAgo).toEqual([0, 1_500]);
    await clock.advance(20);
    expect(confirmedMsAgo).toEqual([0, 1_500, 0]);
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
});

// Guards against waits that the store rejects.
test("each wait is a whole number of milliseconds", async () => {
    const { clock, watcher, waitsMs } = startWatcher({
        snapshots: [Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] })],
        changes: [Ok({ epoch: 1, revision: 9, changes: [{ kind: "written", entry: entry("a", 9) }] })],
        changesAfterMs: 700.4,
    });
    await clock.advance(6_000);
    expect(waitsMs.length).toBeGreaterThan(3);
    expect(waitsMs.filter(waitMs => !Number.isInteger(waitMs) || waitMs < 1)).toEqual([]);
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
});

// Guards against a list that is no longer followed after one set that its reader could not take.
test("a reader that throws is told of later sets", async () => {
    const { clock, watcher, seen, state, failures } = startWatcher({
        snapshots: [Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] })],
        changes: [Ok({ epoch: 1, revision: 9, changes: [{ kind: "written", entry: entry("a", 9) }] })],
    });
    state.hasFaultyReader = true;
    await clock.advance(10);
    expect(seen.map(({ revision }) => revision)).toEqual([5, 9]);
    expect(failures.length).toBe(2);
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
});

test("an outage is reported once; the last set is kept until a peer offers a newer one", async () => {
    const { clock, watcher, seen, reachability } = startWatcher({
        snapshots: [Ok({ epoch: 1, revision: 5, entries: [entry("a", 5)] })],
        changes: [
            Err(createFailure(ErrorCode.KeyValueUnavailable)),
            Err(createFailure(ErrorCode.KeyValueUnavailable)),
            Ok({ epoch: 1, revision: 9, changes: [{ kind: "written", entry: entry("a", 9) }] }),
        ],
    });
    await clock.advance(1);
    expect(watcher.isStoreReachable()).toBe(false);
    watcher.offer({ epoch: 1, revision: 4, entries: [] });
    watcher.offer({ epoch: 1, revision: 7, entries: [entry("a", 7)] });
    await clock.advance(3_000);
    expect(reachability).toEqual([false, true]);
    expect(seen).toEqual([
        { revision: 5, source: "store" },
        { revision: 7, source: "peer" },
        { revision: 9, source: "store" },
    ]);
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
});

const stopWatcher = async ({ clock, watcher }: ReturnType<typeof startWatcher>): Promise<void> => {
    const disposed = watcher[Symbol.asyncDispose]();
    await clock.advance(5_000);
    await disposed;
};

test("a set of a later epoch replaces one with a higher revision, and never the other way round", () => {
    const current = set(90, entry("a", 90));
    const restored = { epoch: 2, revision: 40, entries: [entry("a", 33)] };
    const replaced = replaceDocuments(current, restored);
    expect([replaced.epoch, replaced.revision, replaced.entries.get("a")?.version]).toEqual([2, 40, 33]);
    expect(replaceDocuments(replaced, { epoch: 1, revision: 95, entries: [] })).toBe(replaced);
    const late = { epoch: 1, revision: 96, changes: [{ kind: "removed", key: "a", version: 96 }] as const };
    expect(applyChanges(replaced, late)).toBe(replaced);
});

test("a rise of the epoch ends the watch in progress, and the set is read again although its revision is lower", async () => {
    const started = startWatcher({
        snapshots: [
            Ok({ epoch: 1, revision: 50, entries: [entry("a", 50)] }),
            Ok({ epoch: 2, revision: 42, entries: [entry("a", 41)] }),
        ],
        changes: [],
    });
    const { clock, epoch, calls, seen, watcher, reachability } = started;
    await clock.advance(100);
    epoch.observe(2);
    await clock.advance(1);
    expect(calls).toEqual(["snapshot", "changes after 50", "snapshot", "changes after 42"]);
    expect(seen.map(({ revision }) => revision)).toEqual([50, 42]);
    expect(watcher.current()?.entries.get("a")?.version).toBe(41);
    expect(reachability).toEqual([]);
    await stopWatcher(started);
});

test("changes that continue another epoch are discarded, and the set is read again", async () => {
    const started = startWatcher({
        snapshots: [
            Ok({ epoch: 1, revision: 50, entries: [entry("a", 50)] }),
            Ok({ epoch: 2, revision: 55, entries: [entry("b", 52)] }),
        ],
        // The restored store has given out revision 51 and later ones again.
        changes: [Ok({ epoch: 2, revision: 55, changes: [{ kind: "written", entry: entry("c", 54) }] })],
    });
    await started.clock.advance(1);
    expect([...started.watcher.current()?.entries.keys() ?? []]).toEqual(["b"]);
    await stopWatcher(started);
});

test("a peer's set is taken by epoch before revision", async () => {
    const started = startWatcher({
        snapshots: [Ok({ epoch: 2, revision: 10, entries: [entry("a", 9)] })],
        changes: [],
    });
    const { clock, watcher } = started;
    await clock.advance(1);
    watcher.offer({ epoch: 1, revision: 99, entries: [] });
    expect(watcher.current()?.revision).toBe(10);
    watcher.offer({ epoch: 3, revision: 4, entries: [entry("a", 3)] });
    expect(watcher.current()).toMatchObject({ epoch: 3, revision: 4 });
    await stopWatcher(started);
});

test("the store is not watched while a peer tells of changes", async () => {
    const started = startWatcher({
        snapshots: [Ok({ epoch: 1, revision: 5, entries: [] })],
        changes: [Ok({ epoch: 1, revision: 6, changes: [] }), Ok({ epoch: 1, revision: 7, changes: [] })],
    });
    const { clock, state, calls } = started;
    state.isRelayed = true;
    await clock.advance(10_000);
    expect(calls).toEqual(["snapshot"]);
    state.isRelayed = false;
    await clock.advance(1_000);
    expect(calls.slice(1, 3)).toEqual(["changes after 5", "changes after 6"]);
    await stopWatcher(started);
});

test("only changed documents are sent to a host whose position is comparable, and merged with its set", () => {
    const current = { ...set(20, entry("a", 4), entry("b", 15), entry("d", 2)) };
    const known = { ...set(10, entry("a", 4), entry("b", 8), entry("c", 9), entry("d", 2)) };
    const { changed, unchangedKeys } = selectChangedDocuments(current, known);
    expect(changed.map(({ key }) => key)).toEqual(["b"]);
    expect(mergeChangedDocuments(current, changed, unchangedKeys, known)).toEqual({
        ...current,
        entries: new Map([...unchangedKeys, "b"].map(key => [key, current.entries.get(key)])),
    });
    expect(selectChangedDocuments(current, { epoch: 2, revision: 10 }).changed).toHaveLength(3);
    expect(selectChangedDocuments(current, { epoch: 0, revision: 0 }).changed).toHaveLength(3);
    expect(mergeChangedDocuments(current, changed, unchangedKeys, set(10, entry("a", 4)))).toBeUndefined();
});
