import type { RateMeter } from "./rateMeter";

const MS_PER_SECOND = 1_000;

/** Creates a meter whose events lose weight with the window as time constant. */
export const createRateMeter = (windowMs: number): RateMeter => {
    let weight = 0;
    let updatedAtMs = 0;

    const weightAt = (nowMs: number): number => weight * Math.exp(-Math.max(0, nowMs - updatedAtMs) / windowMs);

    return {
        add: nowMs => {
            weight = weightAt(nowMs) + 1;
            updatedAtMs = nowMs;
        },
        perSecond: nowMs => weightAt(nowMs) / windowMs * MS_PER_SECOND,
    };
};
