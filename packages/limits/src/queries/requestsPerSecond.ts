import type { RateMeter } from "@ibislanding/core";

const MS_PER_SECOND = 1_000;

/** Returns the rate of a meter to which each request was added as one. */
export const requestsPerSecond = (meter: RateMeter, nowMs: number): number => meter.ratePerMs(nowMs) * MS_PER_SECOND;
