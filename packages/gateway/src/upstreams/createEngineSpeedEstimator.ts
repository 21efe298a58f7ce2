import type { ServiceName } from "@ibislanding/core";
import { createPromptModel } from "../placement/createPromptModel";
import type { PromptModel } from "../placement/promptModel";
import type { EngineSpeedEstimator } from "./engineSpeedEstimator";
import type { UpstreamState } from "./upstreamState";

/** Minimum predicted time of a sample that updates an engine's slowdown; shorter ones consist mostly of overhead. */
const MINIMUM_SAMPLE_MS = 30;

/**
 * Weights of a sample in an engine's moving average. A slower sample weighs less, because it may have been queued
 * behind work unknown to this host.
 */
const FAST_SAMPLE_WEIGHT = 0.1;
const SLOW_SAMPLE_WEIGHT = 0.03;

/** Bounds of an engine's slowdown relative to the median of its service. */
const MINIMUM_SLOWDOWN = 0.5;
const MAXIMUM_SLOWDOWN = 3;

/**
 * Half-life of the evidence from gaps. What is older than a prompt's work describes another state of the engine: with
 * 500 ms, late first events became later.
 */
const PROGRESS_HALF_LIFE_MS = 150;

/** Weight of the assumption that an engine is as fast as predicted, as a duration of observed progress. */
const PRIOR_PROGRESS_MS = 30;

/** Bounds of a delay factor, and maximum of a gap relative to the typical one. */
const MINIMUM_DELAY_FACTOR = 0.5;
const MAXIMUM_DELAY_FACTOR = 3;

/** Weight of one event in the typical gap of a service: an effective window of 500 events. */
const TYPICAL_GAP_WEIGHT = 0.002;

/**
 * Creates an estimator without samples.
 *
 * Handles an engine that is permanently slower than the others: with the typical rate, its prompts would be late every
 * time.
 */
export const createEngineSpeedEstimator = (): EngineSpeedEstimator => {
    const models = new Map<ServiceName, PromptModel>();
    const typicalGapsMs = new Map<ServiceName, number>();

    const modelOf = (service: ServiceName): PromptModel => {
        const model = models.get(service) ?? createPromptModel();
        models.set(service, model);
        return model;
    };

    const tokensPerMs = (service: ServiceName): number => modelOf(service).tokensPerMs();

    const relativeSlowdown = ({ slowdown }: UpstreamState, typicalSlowdown: number): number =>
        Math.min(MAXIMUM_SLOWDOWN, Math.max(MINIMUM_SLOWDOWN, slowdown / typicalSlowdown));

    const decayOver = (durationMs: number): number => 0.5 ** (durationMs / PROGRESS_HALF_LIFE_MS);

    return {
        tokensPerMs,
        overheadMs: service => modelOf(service).overheadMs(),
        engineTokensPerMs: (state, typicalSlowdown) =>
            tokensPerMs(state.record.service) / relativeSlowdown(state, typicalSlowdown),
        observeEvents: (state, typicalSlowdown, { events, gapMs }, nowMs) => {
            const { progress, record: { service } } = state;
            const typicalMs = typicalGapsMs.get(service) ?? gapMs / events;
            const expectedMs = events * typicalMs * relativeSlowdown(state, typicalSlowdown);
            const actualMs = Math.min(gapMs, expectedMs * MAXIMUM_DELAY_FACTOR);
            const weight = Math.min(1, TYPICAL_GAP_WEIGHT * events);
            typicalGapsMs.set(service, typicalMs + (actualMs / events - typicalMs) * weight);
            const decay = decayOver(nowMs - progress.updatedAtMs);
            progress.expectedMs = progress.expectedMs * decay + expectedMs;
            progress.actualMs = progress.actualMs * decay + actualMs;
            progress.updatedAtMs = nowMs;
        },
        delayFactor: ({ progress }, nowMs) => {
            const decay = decayOver(nowMs - progress.updatedAtMs);
            const factor = (progress.actualMs * decay + PRIOR_PROGRESS_MS)
                / (progress.expectedMs * decay + PRIOR_PROGRESS_MS);
            return Math.min(MAXIMUM_DELAY_FACTOR, Math.max(MINIMUM_DELAY_FACTOR, factor)) ** decay;
        },
        observe: (state, tokens, durationMs) => {
            const model = modelOf(state.record.service);
            const typicalMs = model.overheadMs() + tokens / model.tokensPerMs();
            if (typicalMs >= MINIMUM_SAMPLE_MS) {
                const sample = Math.min(MAXIMUM_SLOWDOWN, durationMs / typicalMs);
                const weight = sample < state.slowdown ? FAST_SAMPLE_WEIGHT : SLOW_SAMPLE_WEIGHT;
                state.slowdown += (sample - state.slowdown) * weight;
            }
            model.observe(tokens, durationMs);
        },
    };
};
