import type { Clock, RandomSource } from "@ibislanding/core";
import type { KeyValueStore, StoreEpoch } from "@ibislanding/platform";
import type { LeaseStrategy } from "./leaseStrategy";

/** Options of `createLeaseHolder`. */
export interface LeaseHolderOptions {
    readonly store: KeyValueStore;
    /** Set if the store may be restored from a copy, which loses the latest grants. */
    readonly storeEpoch?: StoreEpoch;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly key: string;
    /** Id of this process; it changes with every restart. */
    readonly holder: string;
    readonly durationMs: number;
    /** Maximum time for which a process may be paused between checking its lease and sending an order. */
    readonly longestPauseMs: number;
    /**
     * Order in which processes acquire a lease that was never held: rank 0 acquires it immediately, higher ranks wait
     * as for an expired lease, and undefined does not contend. Any rank acquires a released lease immediately.
     */
    readonly rank: () => number | undefined;
    readonly strategy?: LeaseStrategy;
    readonly onChange?: (held: boolean) => void;
}
