import { type AccountId, type ActionKey, createHasher, createRandom, type HostId } from "@ibislanding/core";
import {
    type ActionLedger,
    type ClaimWriter,
    confirmedClaimStrategy,
    createActionLedger,
    defaultLedgerLimits,
    defaultLedgerTiming,
    type LedgerLimits,
    type LedgerTiming,
} from "@ibislanding/ledger";
import { Ok } from "ts-results";
import { createModelStore } from "./createModelStore";
import { createPerKeyRunner } from "./createPerKeyRunner";
import { createVirtualClock } from "./createVirtualClock";

const HOST_COUNT = 7;
const DURATION_MS = 30_000;
const ACTION_DURATION_MS = 50;
const PEER_LATENCY_MS = 1;
const ANSWER = "x".repeat(300);
const DIGEST = "0123456789abcdef".repeat(4);

interface Load {
    /**
     * "per-key" stores one key per action. In the other modes hosts commit to shards: "shard" at every host itself,
     * "preferred" at one preferred writer, "two-writers" at one of two, because hosts disagree on the live hosts.
     */
    readonly commitMode: "per-key" | "shard" | "preferred" | "two-writers";
    readonly actionsPerSecond: number;
    readonly seed: number;
    readonly limits?: Partial<LedgerLimits>;
    readonly timing?: Partial<LedgerTiming>;
    /** Period of the run in which the store is unavailable. */
    readonly outage?: { readonly fromMs: number; readonly toMs: number; };
}

const percentile = (sorted: readonly number[], part: number): number =>
    Math.round((sorted[Math.floor(sorted.length * part)] ?? 0) * 10) / 10;

/** Runs a load against several hosts in virtual time, and returns its throughput, store traffic and latencies. */
export const runLoad = async (load: Load) => {
    const clock = createVirtualClock();
    const random = createRandom(load.seed);
    const hasher = await createHasher();
    const store = createModelStore(clock, random);
    const writers: readonly ClaimWriter[] = Array.from({ length: HOST_COUNT }, (_, host) => ({
        hostId: `host-${host}-0123456789` as HostId,
        address: `10.0.0.${host}:7000`,
    }));
    const hostsSeenBy = (host: number): readonly ClaimWriter[] => ({
        "per-key": [],
        shard: writers.slice(host, host + 1),
        preferred: writers,
        "two-writers": host % 2 === 0 ? writers.slice(0, 4) : writers.slice(4),
    }[load.commitMode]);
    const ledgers: readonly ActionLedger[] = writers.map((self, host) =>
        createActionLedger({
            self,
            store,
            clock,
            random,
            hasher,
            limits: { ...defaultLedgerLimits, ...load.limits },
            timing: { ...defaultLedgerTiming, ...load.timing },
            strategy: confirmedClaimStrategy,
            hosts: { liveEntryHosts: () => hostsSeenBy(host) },
            peers: {
                claimStatus: async () => Ok("unknown"),
                forward: async (writer, shard, operation) => {
                    await clock.sleep(PEER_LATENCY_MS);
                    const result = await ledgers[writers.indexOf(writer)]!.peerHandler.commit(shard, operation);
                    await clock.sleep(PEER_LATENCY_MS);
                    return result;
                },
            },
            onError: error => {
                throw error;
            },
        })
    );
    const runPerKey = createPerKeyRunner(store, clock);
    const done: number[] = [];
    const refused: number[] = [];

    const runOne = async (host: number, number: number): Promise<void> => {
        const startMs = clock.monotonicMs();
        const accountId = `account-${number % 5}` as AccountId;
        const key = `${random.nextHex(32)}` as ActionKey;
        const send = async (): Promise<string> => {
            await clock.sleep(ACTION_DURATION_MS);
            return ANSWER;
        };
        const ran = load.commitMode === "per-key"
            ? await runPerKey(accountId, key, DIGEST, send)
            : (await ledgers[host]!.runAction({
                accountId,
                key,
                requestSha256: DIGEST,
                timeoutMs: 10_000,
                service: { repeatable: false, deduplicates: false },
                send: async () => Ok({ status: 200, headers: {}, body: Buffer.from(await send()) }),
            })).ok;
        (ran ? done : refused).push(clock.monotonicMs() - startMs);
    };

    const schedule = (atMs: number, number: number): void => {
        if (atMs < DURATION_MS) {
            clock.setTimer(atMs - clock.monotonicMs(), () => {
                void runOne(random.nextInt(HOST_COUNT), number);
                schedule(atMs - Math.log(1 - random.nextFloat()) * 1_000 / load.actionsPerSecond, number + 1);
            });
        }
    };
    schedule(0, 0);
    if (load.outage !== undefined) {
        clock.setTimer(load.outage.fromMs, () => store.setUnavailable(true));
        clock.setTimer(load.outage.toMs, () => store.setUnavailable(false));
    }
    await clock.runUntil(DURATION_MS);
    const segmentBytes = store.writtenBytes()["ledger-seal"] ?? 0;
    const { writes, reads, conflicts, bytesWritten, bytesRead } = store.counts;
    await clock.runUntil(2 * DURATION_MS);
    const perSecond = (count: number): number => Math.round(count / (DURATION_MS / 1_000) * 10) / 10;
    const latencies = done.map(latencyMs => latencyMs - ACTION_DURATION_MS).sort((left, right) => left - right);
    const refusals = refused.sort((left, right) => left - right);
    return {
        way: load.commitMode,
        shards: load.commitMode === "per-key" ? "-" : load.limits?.shardCount ?? defaultLedgerLimits.shardCount,
        "seal KB": (load.limits?.sealBytes ?? defaultLedgerLimits.sealBytes) / 1_000,
        "group ms": load.timing?.groupDelayMs ?? defaultLedgerTiming.groupDelayMs,
        "actions/s": load.actionsPerSecond,
        done: done.length,
        "writes/s": perSecond(writes),
        "reads/s": perSecond(reads),
        "conflicts/s": perSecond(conflicts),
        "KB written/s": perSecond(bytesWritten / 1_000),
        "segment KB/s": perSecond(segmentBytes / 1_000),
        "KB read/s": perSecond(bytesRead / 1_000),
        "added p50 ms": percentile(latencies, 0.5),
        "added p99 ms": percentile(latencies, 0.99),
        refused: refused.length,
        "refusal p50 ms": percentile(refusals, 0.5),
        "refusal p99 ms": percentile(refusals, 0.99),
    };
};
