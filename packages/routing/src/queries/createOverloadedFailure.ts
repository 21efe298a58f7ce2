import { createFailure, ErrorCode, type Failure, type RandomSource } from "@ibislanding/core";
import type { RoutingOptions } from "../model/routingOptions";

/** Creates the failure for a request without capacity; `retryAfterMs` is jittered between once and twice its base. */
export const createOverloadedFailure = (
    options: RoutingOptions,
    timeToCapacityMs: number,
    random: RandomSource,
): Failure => {
    const { minimumRetryAfterMs, maximumRetryAfterMs } = options;
    const baseMs = Math.min(maximumRetryAfterMs / 2, Math.max(minimumRetryAfterMs, timeToCapacityMs));
    return createFailure(ErrorCode.Overloaded, { retryAfterMs: Math.round(baseMs * (1 + random.nextFloat())) });
};
