import type { Clock, FencingNumber, HostId, RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";

/** How a host contends for the duties. */
export interface DutyRunnerOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly key: string;
    readonly hostId: HostId;
    /** Whether this host contends while it is no holder. */
    readonly mayContend: () => boolean;
    /** Duration of the lease; a former holder does not contend again within it. */
    readonly leaseMs: number;
    /**
     * Each carries out what is due of one duty; started at a fixed interval while the lease is held, unless it still
     * runs. Neither the lease nor another duty waits for it.
     */
    readonly duties: readonly ((fencingNumber: () => FencingNumber | undefined) => Promise<void>)[];
    readonly onChange: (held: boolean, fencingNumber: FencingNumber | undefined) => void;
    readonly onError: (error: unknown) => void;
}
