/** Multipliers of the 32-bit MurmurHash3 finalizer, which has good avalanche behaviour. */
const FIRST_MULTIPLIER = 0x85eb_ca6b;
const SECOND_MULTIPLIER = 0xc2b2_ae35;

/**
 * Combines two 32-bit hashes into one unsigned 32-bit hash. Rendezvous hashing scores many pairs per request, and
 * combining two precomputed hashes costs a small fraction of hashing a string.
 */
export const combineHashes = (left: number, right: number): number => {
    let hash = (left ^ Math.imul(right, SECOND_MULTIPLIER)) >>> 0;
    hash = Math.imul(hash ^ (hash >>> 16), FIRST_MULTIPLIER);
    hash = Math.imul(hash ^ (hash >>> 13), SECOND_MULTIPLIER);
    return (hash ^ (hash >>> 16)) >>> 0;
};
