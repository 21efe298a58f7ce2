import type { RateMeter } from "./rateMeter";

/** Creates a meter in which past amounts decay exponentially with the given time constant. */
export const createRateMeter = (timeConstantMs: number): RateMeter => {
    let decayedSum = 0;
    let updatedAtMs = 0;

    const decayedSumAt = (nowMs: number): number =>
        decayedSum * Math.exp(-Math.max(0, nowMs - updatedAtMs) / timeConstantMs);

    return {
        add: (amount, nowMs) => {
            decayedSum = decayedSumAt(nowMs) + amount;
            updatedAtMs = nowMs;
        },
        ratePerMs: nowMs => decayedSumAt(nowMs) / timeConstantMs,
    };
};
