import type { AccountId, HostId } from "@ibislanding/core";

/** Usage of the client accounts on one host. */
export interface UsageReport {
    readonly hostId: HostId;
    /** Increases with every report of the host. */
    readonly sequence: number;
    readonly accounts: readonly {
        readonly accountId: AccountId;
        readonly demandPerSecond: number;
        readonly admittedPerSecond: number;
        readonly running: number;
    }[];
}
