import { createFailure, createFakeClock, createRandom, ErrorCode, type Failure } from "@ibislanding/core";
import {
    createStoreEpoch,
    type KeyValueChanges,
    type KeyValueHistory,
    type KeyValueSnapshot,
} from "@ibislanding/platform";
import { Err, Ok, type Result } from "ts-results";
import { applyChanges, createDocumentWatcher, type DocumentSet, replaceDocuments } from "../src";

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
}

const startWatcher = ({ snapshots, changes }: StoreResponses) => {
    const clock = createFakeClock();
    const seen: { readonly revision: number; readonly source: string; }[] = [];
    const reachability: boolean[] = [];
    const calls: string[] = [];
    const state = { isRelayed: false };
    const epoch = createStoreEpoch();
    epoch.observe(1);
    const history: KeyValueHistory = {
        snapshot: async () => {
            calls.push("snapshot");
            return snapshots.shift() ?? Err(createFailure(ErrorCode.KeyValueUnavailable));
        },
        changesAfter: async (_prefix, revision, waitMs, options) => {
            calls.push(`changes after ${revision}`);
            const next = changes.shift();
            if (next === undefined) {
                await clock.sleep(waitMs, options.signal);
                return Ok({ changes: [], epoch: epoch.current(), revision });
            }
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
        batchDelayMs: () => 0,
        onChange: ({ revision }, source) => void seen.push({ revision, source }),
        onReachabilityChange: isReachable => void reachability.push(isReachable),
    });
    return { clock, watcher, seen, reachability, calls, epoch, state };
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
