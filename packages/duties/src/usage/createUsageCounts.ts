import type { AccountId, HostId } from "@ibislanding/core";
import type { UsageCounts } from "./usageCounts";
import type { WindowCounts } from "./windowCounts";

/** Windows that are kept: a successor of a lost holder reports some of the past. */
const KEPT_WINDOWS = 8;

/** Creates empty counts over windows of true time. */
export const createUsageCounts = (windowMs: number, nowMs: () => number): UsageCounts => {
    const own = new Map<number, Map<AccountId, number>>();
    const peers = new Map<HostId, Map<number, ReadonlyMap<AccountId, number>>>();

    const windowOf = (timeMs: number): number => Math.floor(timeMs / windowMs);

    const dropOld = (counts: Map<number, unknown>): void => {
        const oldest = windowOf(nowMs()) - KEPT_WINDOWS;
        [...counts.keys()].filter(window => window < oldest).forEach(window => counts.delete(window));
    };

    const addTo = (sum: Map<AccountId, number>, counts: ReadonlyMap<AccountId, number> | undefined): void =>
        counts?.forEach((count, accountId) => sum.set(accountId, (sum.get(accountId) ?? 0) + count));

    return {
        add: accountId => {
            const window = windowOf(nowMs());
            const counts = own.get(window) ?? new Map<AccountId, number>();
            counts.set(accountId, (counts.get(accountId) ?? 0) + 1);
            own.set(window, counts);
            dropOld(own);
        },
        own: () => own,
        observePeer: (hostId, counts: WindowCounts) => {
            const known = peers.get(hostId) ?? new Map<number, ReadonlyMap<AccountId, number>>();
            counts.forEach((windowCounts, window) => known.set(window, windowCounts));
            dropOld(known);
            peers.set(hostId, known);
            [...peers].filter(([, windows]) => windows.size === 0).forEach(([ended]) => peers.delete(ended));
        },
        total: window => {
            const sum = new Map<AccountId, number>();
            addTo(sum, own.get(window));
            peers.forEach(windows => addTo(sum, windows.get(window)));
            return sum;
        },
        windowOf,
    };
};
