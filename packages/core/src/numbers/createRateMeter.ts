import type { RateMeter } from "./rateMeter";

/** Creates a meter whose amounts lose weight with the window as time constant. */
export const createRateMeter = (windowMs: number): RateMeter => {
    let weight = 0;
    let updatedAtMs = 0;

    const weightAt = (nowMs: number): number => weight * Math.exp(-Math.max(0, nowMs - updatedAtMs) / windowMs);

    return {
        add: (amount, nowMs) => {
            weight = weightAt(nowMs) + amount;
            updatedAtMs = nowMs;
        },
        perMs: nowMs => weightAt(nowMs) / windowMs,
    };
};
