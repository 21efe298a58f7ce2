import type { BackoffPolicy, Clock, RandomSource } from "@ibislanding/core";
import type { LedgerLimits } from "../model/ledgerLimits";
import type { ShardStorage } from "../storage/shardStorage";

/** What a shard task works with. */
export interface ShardTaskOptions {
    readonly storage: ShardStorage;
    readonly limits: LedgerLimits;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly backoff: BackoffPolicy;
    /** Time for which a commit waits for further operations. */
    readonly groupDelayMs: number;
    /** Consecutive failed commits after which waiting claims and reads fail. */
    readonly failFastAttempts: number;
    readonly onError: (error: unknown) => void;
}
