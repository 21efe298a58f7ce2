import type { AccountId, HostId } from "@ibislanding/core";
import type { WindowCounts } from "./windowCounts";

/** Numbers of requests that began in each window, counted by this host or reported by its peers. */
export interface UsageCounts {
    readonly add: (accountId: AccountId) => void;
    /** This host's counts for the retained windows. */
    readonly local: () => WindowCounts;
    readonly observePeer: (hostId: HostId, counts: WindowCounts) => void;
    /** Sum over all hosts, including those that have since stopped. */
    readonly total: (window: number) => ReadonlyMap<AccountId, number>;
    /** Number of peers whose counts are retained. */
    readonly peerCount: () => number;
    /** Number of the window that contains a time. */
    readonly windowOf: (timeMs: number) => number;
}
