import type { Hasher } from "@ibislanding/core";
import type { ClaimWriter } from "../model/claimWriter";

/** Returns the host that commits a shard by preference: the one with the highest rendezvous hash. */
export const preferredWriterOf = (
    shard: number,
    hosts: readonly ClaimWriter[],
    hasher: Hasher,
): ClaimWriter | undefined =>
    hosts
        .map(host => ({ host, weight: hasher.hash32(`${shard}/${host.hostId}`) }))
        .sort((left, right) => right.weight - left.weight || (left.host.hostId < right.host.hostId ? -1 : 1))[0]?.host;
