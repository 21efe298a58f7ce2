/** Prefix cache of an engine, in blocks. */
export interface PrefixCache {
    /** Returns the number of leading blocks that are cached and marks them as used. */
    readonly match: (hashes: readonly string[]) => number;
    /** Stores blocks and evicts the least recently used ones beyond the capacity. */
    readonly store: (hashes: readonly string[]) => void;
    readonly size: () => number;
}
