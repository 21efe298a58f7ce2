import type { ServiceName } from "@ibislanding/core";
import { createPromptModel } from "../placement/createPromptModel";
import type { PromptModel } from "../placement/promptModel";
import type { EngineSpeedEstimator } from "./engineSpeedEstimator";

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
 * Creates an estimator without samples.
 *
 * Handles an engine that is permanently slower than the others: with the typical rate, its prompts would be late every
 * time.
 */
export const createEngineSpeedEstimator = (): EngineSpeedEstimator => {
    const models = new Map<ServiceName, PromptModel>();

    const modelOf = (service: ServiceName): PromptModel => {
        const model = models.get(service) ?? createPromptModel();
        models.set(service, model);
        return model;
    };

    const tokensPerMs = (service: ServiceName): number => modelOf(service).tokensPerMs();

    return {
        tokensPerMs,
        overheadMs: service => modelOf(service).overheadMs(),
        engineTokensPerMs: ({ record, slowdown }, typicalSlowdown) =>
            tokensPerMs(record.service)
            / Math.min(MAXIMUM_SLOWDOWN, Math.max(MINIMUM_SLOWDOWN, slowdown / typicalSlowdown)),
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
