import type { Candidate } from "../queries/candidate";
import type { RoutingState } from "../state/routingState";

/**
 * Orders candidates by rendezvous hashing of a prompt's first blocks. All entry hosts find the same order without
 * talking, and the loss of an upstream moves only its own prompts. Returns undefined when the prompt has no whole block.
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
