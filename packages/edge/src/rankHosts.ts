import { combineHashes, type Hasher } from "@ibislanding/core";

/** Orders hosts by rendezvous hashing of a key, so that all hosts find the same ones without asking each other. */
export const rankHosts = (hasher: Hasher, key: string, addresses: readonly string[]): readonly string[] => {
    const keyHash = hasher.hash32(key);
    return addresses
        .map(address => ({ address, rank: combineHashes(keyHash, hasher.hash32(address)) }))
        .sort((left, right) => left.rank - right.rank)
        .map(({ address }) => address);
};
