import type { Clock, RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { LeaseStrategy } from "./leaseStrategy";

/** How a lease holder is set up. */
export interface LeaseHolderOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly key: string;
    /** Id of this process; a restarted process has another one. */
    readonly holder: string;
    readonly durationMs: number;
    /** Longest time for which a process may be paused between the check of its lease and an order. */
    readonly longestPauseMs: number;
    /**
     * Order in which this process takes a lease that nobody ever held: 0 takes it at once, a greater number waits as
     * for a lapsed lease, and undefined doesn't contend. A lease that was given back is taken at once by any rank.
     */
    readonly rank: () => number | undefined;
    readonly strategy?: LeaseStrategy;
    readonly onChange?: (held: boolean) => void;
}
