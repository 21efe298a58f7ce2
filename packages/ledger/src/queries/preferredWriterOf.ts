import type { Hasher } from "@ibislanding/core";
import type { ClaimWriter } from "../model/claimWriter";

/** Returns the preferred writer of a shard, which is the host with the highest rendezvous hash. */
export const preferredWriterOf = (
    shard: number,
    hosts: readonly ClaimWriter[],
    hasher: Hasher,
): ClaimWriter | undefined =>
    hosts
        .map(host => ({ host, weight: hasher.hash32(`${shard}/${host.hostId}`) }))
        .sort((left, right) => right.weight - left.weight || (left.host.hostId < right.host.hostId ? -1 : 1))[0]?.host;
