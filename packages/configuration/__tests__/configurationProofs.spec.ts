import {
    type ConfigurationOperation,
    defaultFollowerStrategy,
    type FollowerStrategy,
    parseDocument,
} from "@ibislanding/configuration";
import { ErrorCode, type Failure, type OperationId, type Revision } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import { type ConfigurationChange, parseManifest } from "@ibislanding/resources";
import fc from "fast-check";
import type { Result } from "ts-results";
import { type ClusterOptions, createCluster } from "./cluster/createCluster";

const PROPERTY_OPTIONS = { seed: 20262, numRuns: 30 };

type Cluster = ReturnType<typeof createCluster>;

interface Attempt {
    readonly id: string;
    readonly name: string;
    readonly expectedVersion: number | undefined;
    readonly invokedAtMs: number;
    readonly index: number;
    /** Set when the process was killed before the operation completed. */
    isInterrupted?: boolean;
    endedAtMs?: number;
    result?: Result<ConfigurationChange, Failure>;
}

const operationOf = (
    id: string,
    name: string,
    timeoutMs: number,
    expectedVersion?: number,
): ConfigurationOperation => ({
    operationId: id as OperationId,
    contentSha256: id,
    changes: [{
        action: "apply",
        manifest: parseManifest({ kind: "Service", name, team: "core", spec: { type: "plain", timeoutMs } }).unwrap(),
        expectedVersion: expectedVersion as Revision | undefined,
    }],
});

/** Starts an operation based on the configuration that its process currently has, and records the outcome. */
const startAttempt = (cluster: Cluster, attempts: Attempt[], index: number, name: string): void => {
    const id = `operation-${attempts.length}`;
    const known = cluster.running()[index]?.follower.current()?.resources.find(resource => resource.name === name);
    const expectedVersion = known?.version ?? 0;
    const record: Attempt = { id, name, index, expectedVersion, invokedAtMs: cluster.clock.monotonicMs() };
    attempts.push(record);
    void cluster.apply(index, operationOf(id, name, 1_000 + attempts.length, expectedVersion)).then(result => {
        record.result = result;
        record.endedAtMs = cluster.clock.monotonicMs();
    });
};

const listAccepted = (attempts: readonly Attempt[]) =>
    attempts.flatMap(
        record => (record.result?.ok && !record.isInterrupted ? [{ ...record, change: record.result.val }] : []),
    );

const isStrictlyIncreasing = (revisions: readonly number[]): boolean =>
    revisions.every((revision, index) => index === 0 || revision > (revisions[index - 1] ?? -1));

const readStoredHistory = async (cluster: Cluster): Promise<readonly ConfigurationChange[]> => {
    const entry = cluster.store.get("config/head", { cause: "experiment" });
    await cluster.clock.advance(10);
    const value = (await entry).unwrap()?.value;
    return value === undefined ? [] : parseDocument(value).unwrap().recentChanges;
};

const isLinearizable = (attempts: readonly Attempt[], history: readonly ConfigurationChange[]): boolean => {
    const ids = history.map(change => change.operationId as string);
    const areAcceptedStoredOnce = listAccepted(attempts).every(({ id }) =>
        ids.filter(other => other === id).length === 1
    );
    const hasNoGaps = history.every((change, index) => change.revision === index + 1);
    const refused = attempts.filter(({ result, isInterrupted }) =>
        !isInterrupted && result?.err && result.val.code !== ErrorCode.OutcomeUnknown
    );
    const areRefusedNotStored = refused.every(({ id }) => !ids.includes(id));
    const respectsRealTimeOrder = listAccepted(attempts).every(first =>
        listAccepted(attempts).every(second =>
            (first.endedAtMs ?? Infinity) >= second.invokedAtMs || first.change.revision < second.change.revision
        )
    );
    const baseVersions = listAccepted(attempts).map(({ name, expectedVersion }) => `${name} ${expectedVersion}`);
    return areAcceptedStoredOnce && hasNoGaps && areRefusedNotStored && respectsRealTimeOrder
        && new Set(baseVersions).size === baseVersions.length;
};

const index = fc.nat({ max: 4 });
const commands = fc.array(
    fc.oneof(
        {
            weight: 5,
            arbitrary: fc.record({ type: fc.constant("apply" as const), index, name: fc.constantFrom("a", "b") }),
        },
        {
            weight: 2,
            arbitrary: fc.record({ type: fc.constant("advance" as const), ms: fc.integer({ min: 1, max: 900 }) }),
        },
        { weight: 1, arbitrary: fc.record({ type: fc.constant("restart" as const), index }) },
        {
            weight: 1,
            arbitrary: fc.record({ type: fc.constant("outage" as const), ms: fc.integer({ min: 50, max: 2_500 }) }),
        },
        {
            weight: 1,
            arbitrary: fc.record({ type: fc.constant("loseAnswers" as const), count: fc.integer({ min: 1, max: 3 }) }),
        },
        {
            weight: 1,
            arbitrary: fc.record({ type: fc.constant("loseRequests" as const), count: fc.integer({ min: 1, max: 3 }) }),
        },
    ),
    { minLength: 8, maxLength: 24 },
);
type Command = typeof commands extends fc.Arbitrary<(infer C)[]> ? C : never;

const runCommand = async (cluster: Cluster, attempts: Attempt[], command: Command): Promise<void> => {
    const handlers = {
        apply: () =>
            startAttempt(cluster, attempts, (command as { index: number; }).index, (command as { name: string; }).name),
        advance: () => cluster.clock.advance((command as { ms: number; }).ms),
        restart: () => {
            const { index: killed } = command as { index: number; };
            attempts.filter(record => record.index === killed && record.result === undefined).forEach(record => {
                record.isInterrupted = true;
            });
            return cluster.restart(killed);
        },
        outage: async () => {
            cluster.store.setUnavailable(true);
            await cluster.clock.advance((command as { ms: number; }).ms);
            cluster.store.setUnavailable(false);
        },
        loseAnswers: () => cluster.store.dropResponses((command as { count: number; }).count),
        loseRequests: () => cluster.store.dropRequests((command as { count: number; }).count),
    };
    await handlers[command.type]();
};

/** Runs commands, then makes the store unavailable as soon as all operations have ended. */
const runCommands = async (options: ClusterOptions, list: readonly Command[]) => {
    const cluster = createCluster({ staleRate: 0.2, lossRate: 0.2, ...options });
    await cluster.clock.advance(1_000);
    const attempts: Attempt[] = [];
    for (const command of list) {
        await runCommand(cluster, attempts, command);
    }
    while (attempts.some(({ result }) => result === undefined)) {
        await cluster.clock.advance(20);
    }
    const history = await readStoredHistory(cluster);
    cluster.store.setUnavailable(true);
    await cluster.clock.advance(9_000);
    return { cluster, attempts, history };
};

describe("configuration under faults", () => {
    it("keeps revisions monotonic, propagates accepted changes without the store, and is linearizable", async () => {
        const totals = { accepted: 0, conflicts: 0 };
        await fc.assert(
            fc.asyncProperty(fc.integer({ min: 1, max: 1_000_000 }), commands, async (seed, list) => {
                const { cluster, attempts, history } = await runCommands({ seed, size: 5 }, list);
                expect(cluster.allProcesses().every(process => isStrictlyIncreasing(process.revisions))).toBe(true);
                const highestAccepted = Math.max(0, ...listAccepted(attempts).map(({ change }) => change.revision));
                const currentRevisions = cluster.running().map(process => process.follower.current()?.revision ?? -1);
                expect(Math.min(...currentRevisions)).toBeGreaterThanOrEqual(highestAccepted);
                expect(isLinearizable(attempts, history)).toBe(true);
                const codes = attempts.flatMap(({ result }) => (result?.err ? [result.val.code] : []));
                totals.accepted += listAccepted(attempts).length;
                totals.conflicts += codes.filter(code => code === ErrorCode.VersionConflict).length;
                await cluster.dispose();
            }),
            PROPERTY_OPTIONS,
        );
        expect(totals.accepted).toBeGreaterThan(0);
        expect(totals.conflicts).toBeGreaterThan(0);
    });

    const conflictingCommands: readonly Command[] = Array.from({ length: 12 }, (_, count) => [
        { type: "apply" as const, index: count % 5, name: "a" as const },
        { type: "apply" as const, index: (count + 1) % 5, name: "a" as const },
        { type: "advance" as const, ms: 150 },
    ]).flat();

    it("loses changes when the store writes without comparing", async () => {
        const overwritingStore = (store: KeyValueStore): KeyValueStore => ({
            ...store,
            compareAndSwap: async (request, options) => {
                const current = await store.get(request.key, options);
                const expectedVersion = current.ok ? current.val?.version ?? 0 : 0;
                return store.compareAndSwap({ ...request, expectedVersion }, options);
            },
        });
        const options = { seed: 1, size: 5, staleRate: 0, writerStore: overwritingStore };
        const { cluster, attempts, history } = await runCommands(options, conflictingCommands);
        expect(isLinearizable(attempts, history)).toBe(false);
        await cluster.dispose();
    });

    it("reverts to older revisions when every document replaces the current one", async () => {
        const strategy: FollowerStrategy = { ...defaultFollowerStrategy, replaces: () => true };
        const cluster = createCluster({ seed: 1, size: 2, strategy });
        const attempts: Attempt[] = [];
        await cluster.clock.advance(500);
        startAttempt(cluster, attempts, 0, "a");
        await cluster.clock.advance(500);
        const old = cluster.running()[0]?.follower.current();
        startAttempt(cluster, attempts, 0, "a");
        await cluster.clock.advance(500);
        void cluster.running()[0]?.follower.offer(old as never);
        expect(cluster.allProcesses().every(process => isStrictlyIncreasing(process.revisions))).toBe(false);
        await cluster.dispose();
    });

    /** Makes the store unavailable right after one process accepts a change; returns the lowest revision after 9 s. */
    const acceptThenOutage = async (strategy?: FollowerStrategy): Promise<number> => {
        const cluster = createCluster({ seed: 3, size: 8, strategy, lossRate: 0.2 });
        await cluster.clock.advance(1_000);
        const operation = cluster.apply(0, operationOf("1", "a", 1_000, 0));
        let isAccepted = false;
        void operation.then(() => {
            cluster.store.setUnavailable(true);
            isAccepted = true;
        });
        while (!isAccepted) {
            await cluster.clock.advance(1);
        }
        await cluster.clock.advance(9_000);
        const revisions = cluster.running().map(process => process.follower.current()?.revision ?? -1);
        await cluster.dispose();
        return Math.min(...revisions);
    };

    it("propagates a change even if the store fails right after accepting it, but not without peers", async () => {
        expect(await acceptThenOutage()).toBe(1);
        const withoutPeers = { ...defaultFollowerStrategy, fanOut: 0, antiEntropyIntervalMs: undefined };
        expect(await acceptThenOutage(withoutPeers)).toBe(0);
    });

    /** Starts a new process during an outage and returns its revision after 5 s. */
    const startDuringOutage = async (strategy?: FollowerStrategy): Promise<number | undefined> => {
        const cluster = createCluster({ seed: 4, size: 4, strategy });
        await cluster.clock.advance(500);
        void cluster.apply(0, operationOf("1", "a", 1_000, 0));
        await cluster.clock.advance(1_000);
        cluster.store.setUnavailable(true);
        const newcomer = cluster.start(0);
        expect(newcomer.follower.current()).toBeUndefined();
        await cluster.clock.advance(5_000);
        const revision = newcomer.follower.current()?.revision;
        await cluster.dispose();
        return revision;
    };

    it("bootstraps a new process from peers during an outage; without peers it gets no configuration", async () => {
        expect(await startDuringOutage()).toBe(1);
        expect(await startDuringOutage({ ...defaultFollowerStrategy, antiEntropyIntervalMs: undefined }))
            .toBeUndefined();
    });

    /** Restarts a process six times with mostly stale store reads; returns the lowest revision it started with. */
    const restartOnStaleReads = async (strategy: FollowerStrategy): Promise<number> => {
        const cluster = createCluster({ seed: 6, size: 1, strategy });
        await cluster.clock.advance(500);
        void cluster.apply(0, operationOf("1", "a", 1_000, 0));
        await cluster.clock.advance(1_000);
        cluster.setStaleRate(0.8);
        const starts = await [0, 1, 2, 3, 4, 5].reduce<Promise<readonly number[]>>(async (earlier, _) => {
            const before = await earlier;
            await cluster.restart(0);
            await cluster.clock.advance(20_000);
            return [...before, cluster.running()[0]?.revisions[0] ?? Infinity];
        }, Promise.resolve([]));
        await cluster.dispose();
        return Math.min(...starts);
    };

    it("never starts below an accepted revision on stale reads, because it checks the key's version", async () => {
        expect(await restartOnStaleReads(defaultFollowerStrategy)).toBe(1);
        expect(await restartOnStaleReads({ ...defaultFollowerStrategy, isCurrentRead: async () => true })).toBe(0);
    });

    it("reads back an operation whose response was lost, and reports an unknown outcome if it can't", async () => {
        const applyWithLoss = async (maximumAttempts?: number) => {
            const cluster = createCluster({ seed: 8, size: 1, maximumAttempts });
            await cluster.clock.advance(500);
            cluster.store.dropResponses(1);
            const operation = cluster.apply(0, operationOf("1", "a", 1_000, 0));
            await cluster.clock.advance(10_000);
            await cluster.dispose();
            return operation;
        };
        expect((await applyWithLoss()).unwrap().revision).toBe(1);
        expect((await applyWithLoss(1)).val).toMatchObject({
            code: ErrorCode.OutcomeUnknown,
            details: { operationId: "1" },
        });
    });
});
