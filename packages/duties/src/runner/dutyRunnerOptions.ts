import type { Clock, FencingNumber, HostId, RandomSource } from "@ibislanding/core";
import type { KeyValueStore, StoreEpoch } from "@ibislanding/platform";

/** Lease settings, duties and callbacks of a duty runner. */
export interface DutyRunnerOptions {
    readonly store: KeyValueStore;
    readonly storeEpoch: StoreEpoch;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly key: string;
    readonly hostId: HostId;
    /** Whether this host contends for the lease while it doesn't hold it. */
    readonly mayContend: () => boolean;
    /** Duration of the lease; a former lease holder contends again after twice this time. */
    readonly leaseMs: number;
    /**
     * Each function does the pending work of one duty. While the lease is held it is started about every 300 ms, unless
     * its previous run is still in progress. Neither lease renewal nor another duty waits for it.
     */
    readonly duties: readonly ((fencingNumber: () => FencingNumber | undefined) => Promise<void>)[];
    readonly onChange: (held: boolean, fencingNumber: FencingNumber | undefined) => void;
    readonly onError: (error: unknown) => void;
}
