import type { RandomSource, UpstreamId } from "@ibislanding/core";
import type { CacheChange } from "@ibislanding/routing";
import type { Scenario } from "../scenario/scenario";
import type { EngineJob } from "./engineJob";
import type { EngineObserver } from "./engineObserver";
import type { FakeEngine } from "./fakeEngine";

const BLOCK_TOKENS = 64;
const MS_PER_SECOND = 1_000;

const PRIORITIES = ["high", "normal", "low"];

const priorityOf = ({ arrival }: EngineJob): number => PRIORITIES.indexOf(arrival.account.priority);

/** Creates an idle simulated engine with an empty prefix cache, which evicts the least recently used blocks. */
export const createFakeEngine = (
    upstreamId: UpstreamId,
    profile: Scenario["engine"],
    observer: EngineObserver,
    random: RandomSource,
): FakeEngine => {
    const jobs = new Set<EngineJob>();
    const cache = new Set<string>();
    let changes: CacheChange[] = [];
    let lastSequence = 0;
    let prefilledTokens = 0;

    const recordCacheChange = (type: CacheChange["type"], blockHash: string): void => {
        lastSequence++;
        if (random.nextFloat() >= profile.cacheEventLoss) {
            changes.push({ sequence: lastSequence, type, blockHash });
        }
    };

    /** Marks blocks as recently used, last block first, so that a prefix is evicted after the blocks that extend it. */
    const markRecentlyUsed = (blockHashes: readonly string[]): void =>
        [...blockHashes].reverse().forEach(blockHash => {
            cache.delete(blockHash);
            cache.add(blockHash);
        });

    const storeBlocks = (blockHashes: readonly string[]): void => {
        blockHashes.filter(blockHash => !cache.has(blockHash)).forEach(blockHash =>
            recordCacheChange("stored", blockHash)
        );
        markRecentlyUsed(blockHashes);
        while (cache.size > profile.cacheBlocks) {
            const oldest = cache.values().next().value as string;
            cache.delete(oldest);
            recordCacheChange("evicted", oldest);
        }
    };

    const startPrefill = (job: EngineJob, nowMs: number): void => {
        const { blockHashes, promptTokens } = job.arrival;
        const firstMiss = blockHashes.findIndex(blockHash => !cache.has(blockHash));
        const cachedBlocks = firstMiss === -1 ? blockHashes.length : firstMiss;
        markRecentlyUsed(blockHashes.slice(0, cachedBlocks));
        job.cachedTokens = Math.min(promptTokens, cachedBlocks * BLOCK_TOKENS);
        job.prefillTokensLeft = promptTokens - job.cachedTokens;
        job.state = "prefill";
        observer.onStarted(job, nowMs);
    };

    const listJobs = (state: EngineJob["state"]): readonly EngineJob[] => [...jobs].filter(job => job.state === state);

    const prefill = (nowMs: number): void => {
        listJobs("prefill").reduce((budget, job) => {
            const tokens = Math.min(budget, job.prefillTokensLeft);
            job.prefillTokensLeft -= tokens;
            prefilledTokens += tokens;
            // A fully cached prompt needs no tokens, but starts decoding only while some of the budget is left.
            if (job.prefillTokensLeft === 0 && tokens + budget > 0) {
                job.state = "decode";
                storeBlocks(job.arrival.blockHashes);
                observer.onFirstToken(job, nowMs);
            }
            return budget - tokens;
        }, profile.prefillTokensPerSecond * profile.iterationMs / MS_PER_SECOND);
    };

    const decode = (job: EngineJob, nowMs: number): void => {
        job.answerTokensLeft--;
        if (job.answerTokensLeft <= 0) {
            jobs.delete(job);
            observer.onFinished(job, nowMs);
        }
    };

    return {
        upstreamId,
        submit: arrival => {
            const { promptTokens, answerTokens } = arrival;
            jobs.add({
                arrival,
                state: "queued",
                cachedTokens: 0,
                prefillTokensLeft: promptTokens,
                answerTokensLeft: answerTokens,
            });
        },
        runIteration: nowMs => {
            listJobs("decode").forEach(job => decode(job, nowMs));
            const queued = listJobs("queued");
            const freeSlots = Math.max(0, profile.concurrentSequences - (jobs.size - queued.length));
            [...queued].sort((left, right) => priorityOf(left) - priorityOf(right)).slice(0, freeSlots).forEach(job =>
                startPrefill(job, nowMs)
            );
            prefill(nowMs);
        },
        measureLoad: () => {
            const queued = listJobs("queued");
            return {
                upstreamId,
                runningSequences: jobs.size - queued.length,
                queuedSequences: queued.length,
                queuedPromptTokens: [...jobs].reduce((sum, { prefillTokensLeft }) => sum + prefillTokensLeft, 0),
                concurrentSequences: profile.concurrentSequences,
                prefillTokensPerSecond: profile.prefillTokensPerSecond,
                leaving: false,
                modelVersions: { model: "1" },
                adapters: [],
            };
        },
        drainCacheChanges: () => {
            const drained = { changes, lastSequence };
            changes = [];
            return drained;
        },
        stop: () => {
            const stopped = [...jobs];
            jobs.clear();
            return stopped;
        },
        prefilledTokens: () => prefilledTokens,
    };
};
