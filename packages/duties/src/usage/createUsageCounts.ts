import type { AccountId, HostId } from "@ibislanding/core";
import type { UsageCounts } from "./usageCounts";
import type { WindowCounts } from "./windowCounts";

/** Past windows that are retained: the successor of a failed lease holder reports some of them. */
const RETAINED_WINDOWS = 8;

/** Creates empty counts; `nowMs` is the cluster time, so that all hosts use the same windows. */
export const createUsageCounts = (windowMs: number, nowMs: () => number): UsageCounts => {
    const localCounts = new Map<number, Map<AccountId, number>>();
    const peers = new Map<HostId, Map<number, ReadonlyMap<AccountId, number>>>();

    const windowOf = (timeMs: number): number => Math.floor(timeMs / windowMs);

    const evictOldWindows = (counts: Map<number, unknown>): void => {
        const oldest = windowOf(nowMs()) - RETAINED_WINDOWS;
        [...counts.keys()].filter(window => window < oldest).forEach(window => counts.delete(window));
    };

    const addTo = (sum: Map<AccountId, number>, counts: ReadonlyMap<AccountId, number> | undefined): void =>
        counts?.forEach((count, accountId) => sum.set(accountId, (sum.get(accountId) ?? 0) + count));

    return {
        add: accountId => {
            const window = windowOf(nowMs());
            const counts = localCounts.get(window) ?? new Map<AccountId, number>();
            counts.set(accountId, (counts.get(accountId) ?? 0) + 1);
            localCounts.set(window, counts);
            evictOldWindows(localCounts);
        },
        local: () => localCounts,
        observePeer: (hostId, counts: WindowCounts) => {
            const peerCounts = peers.get(hostId) ?? new Map<number, ReadonlyMap<AccountId, number>>();
            counts.forEach((windowCounts, window) => peerCounts.set(window, windowCounts));
            peers.set(hostId, peerCounts);
            peers.forEach(evictOldWindows);
            [...peers].filter(([, windows]) => windows.size === 0).forEach(([endedHostId]) =>
                peers.delete(endedHostId)
            );
        },
        total: window => {
            const sum = new Map<AccountId, number>();
            addTo(sum, localCounts.get(window));
            peers.forEach(windows => addTo(sum, windows.get(window)));
            return sum;
        },
        peerCount: () => peers.size,
        windowOf,
    };
};
