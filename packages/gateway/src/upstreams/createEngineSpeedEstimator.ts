import type { ServiceName } from "@ibislanding/core";
import { createPromptModel } from "../placement/createPromptModel";
import type { PromptModel } from "../placement/promptModel";
import type { EngineSpeedEstimator } from "./engineSpeedEstimator";

/** Predicted times from which an answer shows an engine's speed; shorter ones are mostly overhead. */
const MINIMUM_SAMPLE_MS = 30;

/** Weights of an answer in an engine's speed: a slower one may have waited for what this host does not see. */
const FAST_SAMPLE_WEIGHT = 0.1;
const SLOW_SAMPLE_WEIGHT = 0.03;

/** Bounds of an engine's time against the typical one. */
const MINIMUM_SLOWDOWN = 0.5;
const MAXIMUM_SLOWDOWN = 3;

/**
 * Creates speeds of which nothing is known.
 *
 * Answers a load on engines of which one is slower than the others, as long as it lives: its prompts would be late again
 * and again.
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
