import type { BackoffPolicy, Clock, RandomSource } from "@ibislanding/core";
import type { LedgerLimits } from "../model/ledgerLimits";
import type { ShardStorage } from "../storage/shardStorage";

/** Dependencies and configuration of a shard task. */
export interface ShardTaskOptions {
    readonly storage: ShardStorage;
    readonly limits: LedgerLimits;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly backoff: BackoffPolicy;
    /** Time for which a commit waits for further operations to join its group. */
    readonly groupDelayMs: number;
    /** Consecutive failed commits after which pending claims, takeovers and reads fail. */
    readonly failFastAttempts: number;
    readonly onError: (error: unknown) => void;
}
