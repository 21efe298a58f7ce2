import type { AccountId, HostId } from "@ibislanding/core";

/** What one entry host tells the others of its client accounts' use. */
export interface UsageReport {
    readonly hostId: HostId;
    /** Increases with every report of the host. */
    readonly sequence: number;
    readonly accounts: readonly {
        readonly accountId: AccountId;
        /** Requests that came in a second, refused ones included. */
        readonly demandPerSecond: number;
        readonly admittedPerSecond: number;
        readonly running: number;
    }[];
}
