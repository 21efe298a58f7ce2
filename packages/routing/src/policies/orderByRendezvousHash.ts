import type { Candidate } from "../queries/candidate";
import type { RoutingState } from "../state/routingState";

/**
 * Orders candidates by rendezvous hashing of the leading prompt blocks. All entry hosts compute the same order without
 * coordination, and losing an upstream remaps only the prompts assigned to it. Returns undefined when the prompt has no
 * complete block.
 */
export const orderByRendezvousHash = (
    { hasher, options }: RoutingState,
    candidates: readonly Candidate[],
    blockHashes: readonly string[],
): readonly Candidate[] | undefined => {
    const key = blockHashes[Math.min(options.affinityBlocks, blockHashes.length) - 1];
    if (key === undefined) {
        return undefined;
    }
    return candidates
        .map(candidate => ({ candidate, weight: hasher.hash32(`${candidate.upstream.description.upstreamId} ${key}`) }))
        .sort((left, right) => right.weight - left.weight)
        .map(({ candidate }) => candidate);
};
