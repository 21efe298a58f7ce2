import type { AccountId, HostId } from "@ibislanding/core";

/** Per-account usage that an entry host reports to the other entry hosts. */
export interface UsageReport {
    readonly hostId: HostId;
    /** Increases with every report of the host; an older report never replaces a newer one. */
    readonly sequence: number;
    readonly accounts: readonly {
        readonly accountId: AccountId;
        /** Arrival rate, including refused requests. */
        readonly demandPerSecond: number;
        readonly admittedPerSecond: number;
        readonly running: number;
    }[];
}
