import { mixHashes, type UpstreamId } from "@ibislanding/core";

/** Part of a prefix that counts as cached at the engine that it prefers, and at the next one. */
const SHARES_BY_RANK = [1, 0.5];

/**
 * Returns the engines at which a prompt's shared parts are presumed to be cached, with the part that counts as cached;
 * from the hashes of the engines and of the shared parts.
 *
 * Answers a group of hosts so large that each hears of few of the others' placements: they find the engine that holds a
 * prefix by rendezvous hashing, where each would otherwise have another engine process the prefix again. The second one
 * takes what the first can't, so that a prefix in great demand is processed by two and not by all.
 */
export const presumedCacheShares = (
    upstreamHashes: ReadonlyMap<UpstreamId, number>,
    prefixHash: number,
): ReadonlyMap<UpstreamId, number> => {
    const ranked = [...upstreamHashes]
        .map(([upstreamId, hash]) => ({ upstreamId, rankHash: mixHashes(hash, prefixHash) }))
        .sort((left, right) => left.rankHash - right.rankHash);
    return new Map(SHARES_BY_RANK.flatMap((share, rank) => {
        const upstreamId = ranked[rank]?.upstreamId;
        return upstreamId === undefined ? [] : [[upstreamId, share] as const];
    }));
};
