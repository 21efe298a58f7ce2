import type { Clock, RandomSource } from "@ibislanding/core";

/** Time sources and bound of a command that retries or waits. */
export interface RetryTiming {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Time after which the command gives up. */
    readonly timeoutMs: number;
}
