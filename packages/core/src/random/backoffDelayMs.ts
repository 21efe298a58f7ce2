import type { BackoffPolicy } from "./backoffPolicy";
import type { RandomSource } from "./randomSource";

/** Returns the delay before the given attempt (0 is the first retry), with full jitter over its upper half. */
export const backoffDelayMs = (attempt: number, policy: BackoffPolicy, random: RandomSource): number => {
    const ceilingMs = Math.min(policy.maximumDelayMs, policy.initialDelayMs * 2 ** attempt);
    return ceilingMs / 2 + random.nextFloat() * (ceilingMs / 2);
};
