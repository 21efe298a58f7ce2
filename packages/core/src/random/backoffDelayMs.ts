import type { BackoffPolicy } from "./backoffPolicy";
import type { RandomSource } from "./randomSource";

/**
 * Returns the delay before the given retry (0 is the first). The bound doubles with each retry up to the maximum; the
 * delay is uniformly distributed over its upper half (equal jitter).
 */
export const backoffDelayMs = (attempt: number, policy: BackoffPolicy, random: RandomSource): number => {
    const ceilingMs = Math.min(policy.maximumDelayMs, policy.initialDelayMs * 2 ** attempt);
    return ceilingMs / 2 + random.nextFloat() * (ceilingMs / 2);
};
