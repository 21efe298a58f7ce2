import type { Clock, RandomSource } from "@ibislanding/core";

/** Clock, random source and time limit of a command that retries or waits. */
export interface RetryTiming {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Time after which the command stops retrying or waiting. */
    readonly timeoutMs: number;
}
