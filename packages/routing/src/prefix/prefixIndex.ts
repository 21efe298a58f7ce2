import type { CacheChange } from "../model/cacheChange";

/** Estimated contents of an upstream's prefix cache, bounded by evicting the least recently used blocks. */
export interface PrefixIndex {
    /** Records blocks that the upstream will have cached because a request with them was routed there. */
    readonly addGuesses: (blockHashes: readonly string[], nowMs: number) => void;
    /** Applies cache events; after a large gap in the sequence, earlier entries expire like guessed ones. */
    readonly applyChanges: (changes: readonly CacheChange[], lastSequence: number, nowMs: number) => void;
    /**
     * Returns the number of leading prompt blocks that the upstream is expected to have cached. An unknown block counts
     * as cached when a later block of the same prompt is cached, because its event may have been lost. A block that was
     * reported as evicted ends the prefix.
     */
    readonly countMatchingBlocks: (blockHashes: readonly string[], nowMs: number) => number;
    /** Number of tracked blocks without those reported as evicted; includes guesses that have expired. */
    readonly size: () => number;
    /** Number of cached blocks at the latest eviction by the upstream; undefined before the first eviction. */
    readonly capacity: () => number | undefined;
}
