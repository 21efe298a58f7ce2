import type { EngineEvent } from "@ibislanding/upstreams";
import { BLOCK_TOKENS } from "@ibislanding/upstreams";
import type { EngineCore } from "./engineCore";
import type { EngineProfile } from "./engineProfile";
import type { EngineSequence } from "./engineSequence";
import type { EngineStatistics } from "./engineStatistics";
import type { PrefixCache } from "./prefixCache";

const MS_PER_SECOND = 1_000;

type MutableStatistics = { -readonly [K in keyof EngineStatistics]: number; };

const isRunning = ({ state }: EngineSequence): boolean => state === "prefill" || state === "decode";

const emit = (sequence: EngineSequence, event: EngineEvent): void => sequence.reader?.(event);

/** Creates the continuous-batching scheduler of an engine on top of a prefix cache. */
export const createEngineCore = (profile: EngineProfile, cache: PrefixCache): EngineCore => {
    const sequences = new Map<string, EngineSequence>();
    const statistics: MutableStatistics = {
        requests: 0,
        promptTokens: 0,
        prefilledTokens: 0,
        cachedTokens: 0,
        importedTokens: 0,
        generatedTokens: 0,
        cancelledRequests: 0,
        refusedAfterLeaving: 0,
        lastOfferAfterLeavingMs: 0,
    };

    const inState = (...states: readonly EngineSequence["state"][]): readonly EngineSequence[] =>
        [...sequences.values()].filter(({ state }) => states.includes(state));

    const admit = (sequence: EngineSequence): void => {
        const cached = Math.max(cache.match(sequence.blockHashes) * BLOCK_TOKENS, sequence.importedTokens);
        sequence.cachedTokens = Math.min(cached, sequence.promptTokens);
        sequence.prefillTokensLeft = sequence.promptTokens - sequence.cachedTokens;
        sequence.state = "prefill";
        statistics.cachedTokens += sequence.cachedTokens;
        statistics.importedTokens += Math.min(sequence.importedTokens, sequence.promptTokens);
        const { requestId, promptTokens, cachedTokens } = sequence;
        emit(sequence, { type: "started", requestId, promptTokens, cachedTokens });
    };

    const admitQueued = (): void => {
        const free = profile.concurrentSequences - inState("prefill", "decode").length;
        [...inState("queued")].sort((left, right) => right.priority - left.priority).slice(0, Math.max(0, free))
            .forEach(admit);
    };

    const prefill = (): void => {
        inState("prefill").reduce((budget, sequence) => {
            const tokens = Math.min(budget, sequence.prefillTokensLeft);
            sequence.prefillTokensLeft -= tokens;
            statistics.prefilledTokens += tokens;
            if (sequence.prefillTokensLeft === 0) {
                sequence.state = "decode";
                cache.store(sequence.blockHashes);
            }
            return budget - tokens;
        }, Math.round(profile.prefillTokensPerSecond * profile.iterationMs / MS_PER_SECOND));
    };

    const finish = (sequence: EngineSequence): void => {
        sequence.state = "finished";
        const { requestId, finishReason: reason, generated: totalTokens } = sequence;
        emit(sequence, { type: "finished", requestId, reason, totalTokens });
    };

    const decode = (sequence: EngineSequence): void => {
        const text = sequence.answer[sequence.generated];
        if (text !== undefined) {
            emit(sequence, { type: "token", requestId: sequence.requestId, index: sequence.generated, text });
            sequence.generated++;
            statistics.generatedTokens++;
        }
        if (sequence.generated >= sequence.answer.length) {
            finish(sequence);
        }
    };

    const cancel = (requestId: string): void => {
        const sequence = sequences.get(requestId);
        if (sequence !== undefined && sequence.state !== "finished") {
            sequence.state = "cancelled";
            statistics.cancelledRequests++;
        }
    };

    const isAbandoned = (sequence: EngineSequence, nowMs: number): boolean =>
        sequence.reader === undefined && nowMs - sequence.detachedAtMs > sequence.detachedGraceMs;

    const isRetentionOver = (sequence: EngineSequence, nowMs: number): boolean =>
        !isRunning(sequence) && sequence.state !== "queued" && sequence.reader === undefined
        && nowMs - sequence.detachedAtMs > profile.retentionMs;

    return {
        submit: sequence => {
            sequences.set(sequence.requestId, sequence);
            statistics.requests++;
            statistics.promptTokens += sequence.promptTokens;
        },
        find: requestId => sequences.get(requestId),
        cancel,
        iterate: nowMs => {
            inState("queued", "prefill", "decode").filter(sequence => isAbandoned(sequence, nowMs))
                .forEach(({ requestId }) => cancel(requestId));
            [...sequences.values()].filter(sequence => isRetentionOver(sequence, nowMs))
                .forEach(({ requestId }) => sequences.delete(requestId));
            admitQueued();
            inState("decode").forEach(decode);
            prefill();
        },
        statistics: () => ({ ...statistics }),
        runningSequences: () => inState("prefill", "decode").length,
        queuedSequences: () => inState("queued").length,
        queuedPromptTokens: () =>
            inState("queued", "prefill").reduce(
                (sum, { state, promptTokens, prefillTokensLeft }) =>
                    sum + (state === "queued" ? promptTokens : prefillTokensLeft),
                0,
            ),
        countRefusal: afterLeavingMs => {
            statistics.refusedAfterLeaving++;
            statistics.lastOfferAfterLeavingMs = afterLeavingMs;
        },
    };
};
