import { combineHashes, type Hasher, type UpstreamId } from "@ibislanding/core";
import type { RolloutOrderId } from "./rolloutOrderId";

/**
 * Selects the upstreams of the target that receive its share: `max(1, floor(share x number))` of them by rendezvous
 * hashing, the same on all hosts. Each of them runs at the usual load at least, which reveals versions that fail under load.
 */
export const selectCanaryUpstreams = (
    hasher: Hasher,
    orderId: RolloutOrderId,
    upstreamIds: readonly UpstreamId[],
    share: number,
): ReadonlySet<UpstreamId> => {
    const orderHash = hasher.hash32(orderId);
    const ranked = upstreamIds
        .map(upstreamId => ({ upstreamId, rank: combineHashes(orderHash, hasher.hash32(upstreamId)) }))
        .sort((left, right) => left.rank - right.rank || (left.upstreamId < right.upstreamId ? -1 : 1));
    const selected = ranked.slice(0, Math.max(1, Math.floor(share * upstreamIds.length)));
    return new Set(selected.map(({ upstreamId }) => upstreamId));
};
