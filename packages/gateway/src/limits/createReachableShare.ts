import type { Clock } from "@ibislanding/core";
import type { ReachableShare } from "./reachableShare";

/** Time without a report after which a peer no longer counts in the division of the limit. */
const PEER_EXPIRY_MS = 20_000;

/**
 * Time for which summaries must show a number of hosts before it is believed. When the hosts of a zone change their
 * collector, the summaries of both contain them until the last one of the previous collector has timed out.
 */
const SUSTAINED_MS = 6_000;

/**
 * Creates a share of a host that knows no others. Hosts are counted and not told apart, since the same ones may be
 * reported by another collector a moment later.
 *
 * Handles several collectors that change at the same time, as when hosts register after an outage of the store. Had the
 * hosts counted twice been taken for lost afterwards, all accounts would get less than their limit for 20 s.
 */
export const createReachableShare = (clock: Clock, peerTimeoutMs: () => number): ReachableShare => {
    const reporters = new Map<string, { readonly hostCount: number; readonly reportedAtMs: number; }>();
    /** Highest number of hosts that were reachable within the last while, and when there were so many. */
    let most = { count: 1, atMs: clock.monotonicMs() };
    /** Lowest number of hosts that were reachable since a time. */
    let lowest = { count: 1, sinceMs: clock.monotonicMs() };

    const liveCounts = (): readonly number[] => {
        const timeoutMs = peerTimeoutMs();
        return [...reporters.values()]
            .filter(({ reportedAtMs }) => clock.monotonicMs() - reportedAtMs < timeoutMs)
            .map(({ hostCount }) => hostCount);
    };

    const raise = (count: number): void => {
        const nowMs = clock.monotonicMs();
        if (count >= most.count) {
            most = { count, atMs: nowMs };
        }
        if (nowMs - most.atMs >= PEER_EXPIRY_MS) {
            most = { count: Math.max(count, Math.min(lowest.count, most.count)), atMs: nowMs };
        }
    };

    const update = (): number => {
        const nowMs = clock.monotonicMs();
        const counts = liveCounts();
        const reachable = counts.reduce((sum, count) => sum + count, 1);
        lowest = reachable < lowest.count ? { ...lowest, count: reachable } : lowest;
        if (nowMs - lowest.sinceMs >= SUSTAINED_MS) {
            raise(lowest.count);
            lowest = { count: reachable, sinceMs: nowMs };
        }
        // Hosts that report themselves have names, so that none is counted twice.
        raise(1 + counts.filter(count => count === 1).length);
        return reachable;
    };

    return {
        observe: (hostName, hostCount) => {
            const nowMs = clock.monotonicMs();
            reporters.set(hostName, { hostCount, reportedAtMs: nowMs });
            [...reporters].filter(([, { reportedAtMs }]) => nowMs - reportedAtMs >= PEER_EXPIRY_MS).forEach(([name]) =>
                reporters.delete(name)
            );
            update();
        },
        share: () => Math.min(1, update() / most.count),
    };
};
