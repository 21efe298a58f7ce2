import type { Clock } from "@ibislanding/core";
import type { CollectorSelection } from "./collectorSelection";
import type { Peer } from "./peer";

/** Time for which a host is not selected after its first failure; doubles with each further one. */
const FIRST_BACKOFF_MS = 2_000;
const MAXIMUM_BACKOFF_MS = 30_000;

/**
 * Creates a selection without hosts.
 *
 * Handles collectors that terminate or can't be reached: all members of a group use its first host that works for them.
 * They agree on it without communication, and each sum stays correct if they don't, as a member contributes to one
 * collector at a time.
 */
export const createCollectorSelection = (clock: Clock): CollectorSelection => {
    let addressesByGroup = new Map<string, string[]>();
    const failures = new Map<string, { readonly count: number; readonly retryAtMs: number; }>();

    return {
        setHosts: (hosts: readonly Peer[]) => {
            addressesByGroup = new Map();
            hosts.forEach(({ address, group }) =>
                addressesByGroup.set(group, [...addressesByGroup.get(group) ?? [], address])
            );
            const known = new Set(hosts.map(({ address }) => address));
            [...failures.keys()].filter(address => !known.has(address)).forEach(address => failures.delete(address));
        },
        groups: () => [...addressesByGroup.keys()],
        candidates: group =>
            (addressesByGroup.get(group) ?? []).filter(address =>
                clock.monotonicMs() >= (failures.get(address)?.retryAtMs ?? -Infinity)
            ),
        recordSuccess: address => void failures.delete(address),
        recordFailure: address => {
            const count = (failures.get(address)?.count ?? 0) + 1;
            const backoffMs = Math.min(MAXIMUM_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (count - 1));
            failures.set(address, { count, retryAtMs: clock.monotonicMs() + backoffMs });
        },
    };
};
