import type { PromptModel } from "./promptModel";

/** Initial estimates, used until responses have been measured; slower than current engines. */
const INITIAL_TOKENS_PER_MS = 20;
const INITIAL_OVERHEAD_MS = 20;

/** Decay of older samples per new sample: an effective window of about one hundred samples. */
const DECAY_FACTOR = 0.99;

/** Weight of each prior sample, in number of responses. */
const PRIOR_WEIGHT = 3;
const PRIOR_TOKENS = [500, 8_000] as const;

/** Bounds of the estimated rate. */
const MINIMUM_TOKENS_PER_MS = 2;
const MAXIMUM_TOKENS_PER_MS = 1_000;

/**
 * Weight of a sample above the regression line, relative to one below it. Slow samples include queueing behind prompts
 * of other hosts, which says nothing about the engine's speed.
 */
const SLOW_SAMPLE_WEIGHT = 0.2;

/** Samples are clamped to this multiple of the prediction; longer ones were queued behind work unknown to this host. */
const OUTLIER_CLAMP_FACTOR = 3;

/**
 * Creates a model that fits time = overhead + tokens / rate by exponentially weighted least squares. Slow samples weigh
 * less, so the line runs below the mean.
 *
 * Several hosts may send prompts to one engine within one report interval. The queueing that they cause each other must
 * not be mistaken for a slow engine.
 */
export const createPromptModel = (): PromptModel => {
    let sums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
    let slope = 1 / INITIAL_TOKENS_PER_MS;
    let intercept = INITIAL_OVERHEAD_MS;

    const addSample = (x: number, y: number, weight: number): void => {
        sums = {
            weight: sums.weight + weight,
            x: sums.x + x * weight,
            y: sums.y + y * weight,
            xx: sums.xx + x * x * weight,
            xy: sums.xy + x * y * weight,
        };
    };

    const fit = (): void => {
        const determinant = sums.weight * sums.xx - sums.x * sums.x;
        if (determinant <= 0) {
            return;
        }
        const fittedSlope = (sums.weight * sums.xy - sums.x * sums.y) / determinant;
        slope = Math.min(1 / MINIMUM_TOKENS_PER_MS, Math.max(1 / MAXIMUM_TOKENS_PER_MS, fittedSlope));
        intercept = Math.max(0, (sums.y - slope * sums.x) / sums.weight);
    };

    PRIOR_TOKENS.forEach(tokens => addSample(tokens, intercept + tokens * slope, PRIOR_WEIGHT));

    return {
        tokensPerMs: () => 1 / slope,
        overheadMs: () => intercept,
        observe: (tokens, durationMs) => {
            const predictedMs = intercept + tokens * slope;
            sums = {
                weight: sums.weight * DECAY_FACTOR,
                x: sums.x * DECAY_FACTOR,
                y: sums.y * DECAY_FACTOR,
                xx: sums.xx * DECAY_FACTOR,
                xy: sums.xy * DECAY_FACTOR,
            };
            addSample(
                tokens,
                Math.min(Math.max(0, durationMs), predictedMs * OUTLIER_CLAMP_FACTOR),
                durationMs > predictedMs ? SLOW_SAMPLE_WEIGHT : 1,
            );
            fit();
        },
    };
};
