import { combineHashes, type UpstreamId } from "@ibislanding/core";

/** An upstream whose slots are divided among hosts. */
interface DividedUpstream {
    readonly upstreamId: UpstreamId;
    readonly idHash: number;
    readonly slots: number;
}

/**
 * Returns the order in which each upstream's slots are dealt to the hosts, one at a time.
 *
 * Handles services with fewer slots than hosts: with independent orders, some hosts would have several slots and most none,
 * and slots stay idle where the demand of a host is less than its slots. Slots that don't divide evenly go to the hosts that
 * have received the fewest so far, and among these by rendezvous hashing. All hosts that know of the same upstreams and
 * hosts find the same orders, whatever the order of their input.
 */
export const orderForSlots = (
    upstreams: readonly DividedUpstream[],
    hostHashes: ReadonlyMap<string, number>,
): ReadonlyMap<UpstreamId, readonly string[]> => {
    const extraSlots = new Map([...hostHashes.keys()].map(name => [name, 0]));
    const ordered = [...upstreams].sort((left, right) =>
        left.idHash - right.idHash || (left.upstreamId < right.upstreamId ? -1 : 1)
    );
    return new Map(ordered.map(({ upstreamId, idHash, slots }) => {
        const order = [...hostHashes]
            .map(([name, hash]) => ({ name, extra: extraSlots.get(name) ?? 0, rank: combineHashes(idHash, hash) }))
            .sort((left, right) =>
                left.extra - right.extra || left.rank - right.rank || (left.name < right.name ? -1 : 1)
            );
        order.slice(0, slots % order.length).forEach(({ name, extra }) => extraSlots.set(name, extra + 1));
        return [upstreamId, order.map(({ name }) => name)] as const;
    }));
};
