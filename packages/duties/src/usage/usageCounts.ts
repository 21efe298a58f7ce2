import type { AccountId, HostId } from "@ibislanding/core";
import type { WindowCounts } from "./windowCounts";

/** Requests that began in each window, of this host and as its peers reported them. */
export interface UsageCounts {
    readonly add: (accountId: AccountId) => void;
    /** This host's counts of the last windows. */
    readonly local: () => WindowCounts;
    readonly observePeer: (hostId: HostId, counts: WindowCounts) => void;
    /** Sum over all hosts, also those that have ended since. */
    readonly total: (window: number) => ReadonlyMap<AccountId, number>;
    /** Number of the window in which a time lies. */
    readonly windowOf: (timeMs: number) => number;
}
