import type { CacheChange } from "../model/cacheChange";

/** Blocks that an upstream's prefix cache is believed to hold; bounded, least recently used blocks go first. */
export interface PrefixIndex {
    /** Notes that own routing makes the upstream hold these blocks. */
    readonly addGuesses: (blockHashes: readonly string[], nowMs: number) => void;
    /** Applies cache events; after a large gap, blocks known before it count as guesses. */
    readonly applyChanges: (changes: readonly CacheChange[], lastSequence: number, nowMs: number) => void;
    /**
     * Returns how many first blocks of a prompt the upstream is believed to hold. Blocks of which nothing is known
     * count as held where a later block of the same prompt is: their events may be missing.
     */
    readonly countMatchingBlocks: (blockHashes: readonly string[], nowMs: number) => number;
    /** Number of blocks believed to be held. */
    readonly size: () => number;
    /** Number of blocks held when the upstream last evicted one; undefined while it has evicted none. */
    readonly capacity: () => number | undefined;
}
