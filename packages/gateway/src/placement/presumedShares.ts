import type { Hasher, UpstreamId } from "@ibislanding/core";
import type { PromptPart } from "../codec/promptPart";

/** Part of a prefix that counts as cached at the engine that it prefers, and at the next one. */
const SHARES_BY_RANK = [1, 0.5];

/** The last part of a prompt is its own. */
const sharedParts = (promptParts: readonly PromptPart[]): readonly PromptPart[] => promptParts.slice(0, -1);

/**
 * Returns the engines at which a prompt's shared parts are presumed to be cached, with the part that counts as cached.
 *
 * Answers a group of hosts so large that each hears of few of the others' placements: they find the engine that holds a
 * prefix by rendezvous hashing, where each would otherwise have another engine process the prefix again. The second one
 * takes what the first can't, so that a prefix in great demand is processed by two and not by all.
 */
export const presumedShares = (
    hasher: Hasher,
    upstreamIds: readonly UpstreamId[],
    promptParts: readonly PromptPart[],
): ReadonlyMap<UpstreamId, number> => {
    const prefix = sharedParts(promptParts).map(({ partId }) => partId).join(" ");
    if (prefix === "") {
        return new Map();
    }
    const ranked = upstreamIds
        .map(upstreamId => ({ upstreamId, order: hasher.hash32(`home ${upstreamId} ${prefix}`) }))
        .sort((left, right) => left.order - right.order);
    return new Map(SHARES_BY_RANK.flatMap((share, rank) => {
        const upstreamId = ranked[rank]?.upstreamId;
        return upstreamId === undefined ? [] : [[upstreamId, share] as const];
    }));
};
