/** Multipliers of a 32-bit finalizer with good avalanche. */
const FIRST_MULTIPLIER = 0x85eb_ca6b;
const SECOND_MULTIPLIER = 0xc2b2_ae35;

/**
 * Mixes two 32-bit hashes into one, an unsigned 32-bit number. Rendezvous hashing compares many pairs a request, and
 * mixing costs a small part of hashing a text.
 */
export const combineHashes = (left: number, right: number): number => {
    let hash = (left ^ Math.imul(right, SECOND_MULTIPLIER)) >>> 0;
    hash = Math.imul(hash ^ (hash >>> 16), FIRST_MULTIPLIER);
    hash = Math.imul(hash ^ (hash >>> 13), SECOND_MULTIPLIER);
    return (hash ^ (hash >>> 16)) >>> 0;
};
