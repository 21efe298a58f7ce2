import { combineHashes, type UpstreamId } from "@ibislanding/core";

/** Fraction of a prefix presumed to be cached at the first-ranked engine, and at the second. */
const SHARES_BY_RANK = [1, 0.5];

/**
 * Returns the engines at which a prompt's shared parts are presumed to be cached, with the fraction that counts as
 * cached. Engines are ranked by rendezvous hashing, from the hashes of their ids and of the shared parts.
 *
 * In a large group, each host receives notice of only a few of the other hosts' placements. Rendezvous hashing lets all
 * hosts find the same engine for a prefix; otherwise, each would make another engine process the prefix again. The
 * second-ranked engine takes the overflow, so that a prefix in high demand is processed by two engines and not by all.
 */
export const presumedCacheShares = (
    upstreamHashes: ReadonlyMap<UpstreamId, number>,
    prefixHash: number,
): ReadonlyMap<UpstreamId, number> => {
    const ranked: { readonly upstreamId: UpstreamId; readonly rankHash: number; }[] = [];
    // Only the first ranks are kept: sorting all engines takes longer than the rest of the function.
    upstreamHashes.forEach((hash, upstreamId) => {
        const rankHash = combineHashes(hash, prefixHash);
        const next = ranked.findIndex(other => rankHash < other.rankHash);
        ranked.splice(next === -1 ? ranked.length : next, 0, { upstreamId, rankHash });
        ranked.splice(SHARES_BY_RANK.length);
    });
    return new Map(SHARES_BY_RANK.flatMap((share, rank) => {
        const upstreamId = ranked[rank]?.upstreamId;
        return upstreamId === undefined ? [] : [[upstreamId, share] as const];
    }));
};
