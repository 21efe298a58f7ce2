/** Prefix cache of an engine, in blocks. */
export interface PrefixCache {
    /** Number of leading blocks that are cached; marks them as used. */
    readonly match: (hashes: readonly string[]) => number;
    /** Stores blocks and evicts the least recently used over the capacity. */
    readonly store: (hashes: readonly string[]) => void;
    readonly size: () => number;
}
