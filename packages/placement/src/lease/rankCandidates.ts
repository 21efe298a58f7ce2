import type { Hasher } from "@ibislanding/core";

/** Orders the candidates for a partition by rendezvous hashing; processes with the same list compute the same order. */
export const rankCandidates = (hasher: Hasher, partition: string, candidates: readonly string[]): readonly string[] => {
    const scored = candidates.map(candidate => ({ candidate, score: hasher.hash32(`${partition}\0${candidate}`) }));
    return scored
        .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
        .map(({ candidate }) => candidate);
};
