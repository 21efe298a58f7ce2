import {
    type AccountId,
    type ActionKey,
    type Clock,
    createFakeClock,
    createRandom,
    type HostId,
} from "@ibislanding/core";
import {
    type ClaimId,
    createShardStorage,
    createShardTask,
    decodeHead,
    defaultLedgerLimits,
    encodeHead,
    type LedgerLimits,
    type LedgerOperation,
    type ShardHead,
} from "@ibislanding/ledger";
import { createFakeKeyValueStore } from "@ibislanding/platform";

const writer = { hostId: "host-1" as HostId, address: "10.0.0.1:1" };
const target = (key: string, attempt = 1) => ({
    accountId: "account-1" as AccountId,
    key: key as ActionKey,
    claimId: `claim-${key}-${attempt}` as ClaimId,
});
const claim = (key: string, attempt = 1): LedgerOperation => ({
    kind: "claim",
    ...target(key, attempt),
    requestSha256: "digest",
    writer,
});
const finish = (key: string, text = "answer"): LedgerOperation => ({
    kind: "finish",
    ...target(key),
    answer: { status: 200, headers: {}, bodyBase64: Buffer.from(text).toString("base64") },
});

const createShard = (changedLimits: Partial<LedgerLimits> = {}) => {
    const clock = createFakeClock(1_000_000);
    const random = createRandom(7);
    const store = createFakeKeyValueStore(clock, () => clock.sleep(5));
    const createTask = (taskClock: Clock = clock) =>
        createShardTask({
            storage: createShardStorage({ store, shard: 0, random, timeoutMs: 100 }),
            limits: { ...defaultLedgerLimits, ...changedLimits },
            clock: taskClock,
            random,
            backoff: { initialDelayMs: 10, maximumDelayMs: 100 },
            groupDelayMs: 1,
            failFastAttempts: 2,
            onError: error => {
                throw error;
            },
        });
    const task = createTask();
    const run = async (operations: readonly LedgerOperation[], durationMs = 1_000) => {
        const results = operations.map(operation => task.submit(operation));
        await clock.advance(durationMs);
        return Promise.all(results);
    };
    const readHead = async (): Promise<ShardHead> => {
        const read = store.get("ledger/0/head", { cause: "experiment" });
        await clock.advance(10);
        return decodeHead((await read).unwrap()?.value ?? "{}");
    };
    return { clock, store, task, createTask, run, readHead };
};

const kindsOf = (results: Awaited<ReturnType<ReturnType<typeof createShard>["run"]>>): readonly string[] =>
    results.map(result => result.ok ? result.val.kind : result.val.code);

describe("createShardTask", () => {
    it("refuses claims at once while the store is known to be unavailable, and accepts them after recovery", async () => {
        const { clock, store, task, run } = createShard();
        store.setUnavailable(true);
        expect(kindsOf(await run([claim("first")], 200))).toEqual(["key_value_unavailable"]);
        const waiting = task.submit(finish("first"));
        await clock.advance(200);
        const beforeMs = clock.monotonicMs();
        const refused = await task.submit(claim("second"));
        expect(kindsOf([refused])).toEqual(["key_value_unavailable"]);
        expect(clock.monotonicMs()).toBe(beforeMs);
        store.setUnavailable(false);
        await clock.advance(200);
        expect((await waiting).ok).toBe(true);
        expect(kindsOf(await run([claim("third")]))).toEqual(["claimed"]);
    });

    it("commits all pending operations in one write", async () => {
        const { store, run } = createShard();
        const results = await run(Array.from({ length: 50 }, (_, number) => claim(`key-${number}`)));
        expect(new Set(kindsOf(results))).toEqual(new Set(["claimed"]));
        expect(store.callCounts()["ledger-claim"]).toBe(1);
    });

    it("reads the head again after a write whose response was lost", async () => {
        const { store, run, readHead } = createShard();
        store.dropResponses(1);
        expect(kindsOf(await run([claim("key")]))).toEqual(["claimed"]);
        expect(Object.keys((await readHead()).records)).toHaveLength(1);
    });

    it("fails claims and retains finish operations while the store is unavailable", async () => {
        const { clock, store, run, task } = createShard();
        await run([claim("key")]);
        store.setUnavailable(true);
        const finished = task.submit(finish("key"));
        expect(kindsOf(await run([claim("other")]))).toEqual(["key_value_unavailable"]);
        store.setUnavailable(false);
        await clock.advance(1_000);
        expect((await finished).unwrap()).toMatchObject({ kind: "recorded", record: { state: "done" } });
    });

    it("decodes a head to the value that was encoded", async () => {
        const { run, readHead } = createShard();
        const account = { accountId: "a/b c" as AccountId, key: "x/y" as ActionKey, claimId: "host-1/z" as ClaimId };
        await run([claim("key"), { ...claim("other"), ...account }, finish("key")]);
        const head = await readHead();
        expect(Object.values(head.records)).toMatchObject([{ ...target("key"), state: "done", writer }, account]);
        expect(decodeHead(encodeHead(head))).toEqual(head);
    });

    it("keeps the claims of two concurrent writers", async () => {
        const { clock, createTask, run, readHead } = createShard();
        const other = createTask();
        await run([claim("first")]);
        const concurrent = Array.from({ length: 10 }, (_, number) => other.submit(claim(`other-${number}`)));
        await run(Array.from({ length: 10 }, (_, number) => claim(`own-${number}`)));
        await clock.advance(1_000);
        expect(kindsOf(await Promise.all(concurrent))).toEqual(Array.from({ length: 10 }, () => "claimed"));
        expect(Object.keys((await readHead()).records)).toHaveLength(21);
    });

    it("returns sealed answers in full and keeps the head small", async () => {
        const { clock, createTask, run, readHead } = createShard({ sealBytes: 1_000, mergeSegmentCount: 4 });
        const keys = Array.from({ length: 40 }, (_, number) => `key-${number}`);
        for (const key of keys) {
            await run([claim(key)]);
            await run([finish(key, `answer to ${key}`)]);
        }
        const head = await readHead();
        expect(JSON.stringify(head).length).toBeLessThan(2_500);
        expect(head.segments.length).toBeLessThan(5);
        const freshTask = createTask();
        const retried = keys.map(key => freshTask.submit(claim(key, 2)));
        await clock.advance(1_000);
        const answers = (await Promise.all(retried)).map(result => result.unwrap());
        expect(answers.map(answer => answer.kind === "recorded" ? answer.record.answer?.bodyBase64 : answer.kind))
            .toEqual(keys.map(key => Buffer.from(`answer to ${key}`).toString("base64")));
    });

    it("refuses claims when full and keeps every key for the retention", async () => {
        const { clock, run, readHead, store } = createShard({ maximumShardBytes: 3_000, sealBytes: 500 });
        const keys = Array.from({ length: 30 }, (_, number) => `key-${number}`);
        const claimed = kindsOf(await run(keys.slice(0, 5).map(key => claim(key))));
        await run(keys.slice(0, 5).map(key => finish(key, "x".repeat(600))));
        expect(claimed).toEqual(Array.from({ length: 5 }, () => "claimed"));
        expect(kindsOf(await run([claim("late")]))).toEqual(["full"]);
        expect(kindsOf(await run([claim("key-0", 2)]))).toEqual(["recorded"]);
        await clock.advance(defaultLedgerLimits.retentionMs + 1);
        expect(kindsOf(await run([claim("late", 2)]))).toEqual(["claimed"]);
        await run([{ kind: "markUnknown", ...target("key-1") }]);
        expect(store.callCounts()["ledger-seal"]).toBeGreaterThan(0);
        expect((await readHead()).segments.length).toBeLessThanOrEqual(1);
    });

    it("keeps keys for the retention when the wall clock is wrong", async () => {
        const { clock, createTask, run } = createShard();
        await run([claim("key")]);
        await run([finish("key")]);
        clock.shiftWallClock(2 * defaultLedgerLimits.retentionMs);
        const retryAt = async (task: ReturnType<typeof createTask>) => {
            const retried = task.submit(claim("key", 2));
            await clock.advance(1_000);
            return kindsOf([await retried]);
        };
        expect(await retryAt(createTask())).toEqual(["recorded"]);
        expect(await retryAt(createTask({ ...clock, monotonicMs: clock.wallMs }))).toEqual(["recorded"]);
        const wallClockTask = createTask({ ...clock, monotonicMs: clock.wallMs });
        await retryAt(wallClockTask);
        clock.shiftWallClock(2 * defaultLedgerLimits.retentionMs);
        expect(await retryAt(wallClockTask)).toEqual(["claimed"]);
    });

    it("changes a record only for operations of its claim", async () => {
        const { run } = createShard();
        await run([claim("key")]);
        const foreign = { ...finish("key"), claimId: "claim-of-other" as ClaimId } as LedgerOperation;
        expect(await run([foreign])).toMatchObject([{ val: { kind: "recorded", record: { state: "claimed" } } }]);
        await run([{ kind: "markUnknown", ...target("key") }]);
        expect(await run([finish("key")])).toMatchObject([{ val: { kind: "recorded", record: { state: "done" } } }]);
        expect(await run([{ kind: "release", ...target("key") }])).toMatchObject([{ val: { kind: "recorded" } }]);
        const reused = { ...claim("key", 2), requestSha256: "other" } as LedgerOperation;
        expect(kindsOf(await run([reused, { ...claim("key", 3), accountId: "account-2" as AccountId }])))
            .toEqual(["keyReused", "claimed"]);
    });
});
