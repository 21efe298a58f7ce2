import type { RateMeter } from "@ibislanding/core";

const MS_PER_SECOND = 1_000;

/** Returns the rate in requests per second of a meter that counts each request as 1. */
export const requestsPerSecond = (meter: RateMeter, nowMs: number): number => meter.ratePerMs(nowMs) * MS_PER_SECOND;
