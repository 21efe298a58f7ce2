import { backoffDelayMs, type BackoffPolicy, type RandomSource } from "@ibislanding/core";
import type { Refusal } from "./refusal";

/** Returns the backoff after another refusal; the delay is at least the platform's `retryAfterMs`. */
export const recordRefusal = (
    previous: Refusal | undefined,
    nowMs: number,
    retryAfterMs: number | undefined,
    policy: BackoffPolicy,
    random: RandomSource,
): Refusal => {
    const attempts = (previous?.attempts ?? 0) + 1;
    const delayMs = backoffDelayMs(attempts - 1, policy, random);
    return { attempts, untilMs: nowMs + Math.max(delayMs, retryAfterMs ?? 0) };
};
