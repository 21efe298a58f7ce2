import type { PrefixCache } from "./prefixCache";

/** Creates a prefix cache with least-recently-used eviction; `publish` is called for each block stored or evicted. */
export const createPrefixCache = (
    capacityBlocks: number,
    publish: (type: "stored" | "evicted", blockHash: string) => void,
): PrefixCache => {
    const blocks = new Map<string, true>();

    const markUsed = (hash: string): void => {
        blocks.delete(hash);
        blocks.set(hash, true);
    };

    /** Marks a chain as used, its first block last, because a block is useless once one before it is evicted. */
    const markChainUsed = (hashes: readonly string[]): void => [...hashes].reverse().forEach(markUsed);

    const evictOldest = (): void => {
        const oldest = blocks.keys().next().value;
        if (oldest !== undefined) {
            blocks.delete(oldest);
            publish("evicted", oldest);
        }
    };

    return {
        match: hashes => {
            const firstMiss = hashes.findIndex(hash => !blocks.has(hash));
            const matched = hashes.slice(0, firstMiss === -1 ? hashes.length : firstMiss);
            markChainUsed(matched);
            return matched.length;
        },
        store: hashes => {
            hashes.filter(hash => !blocks.has(hash)).forEach(hash => publish("stored", hash));
            markChainUsed(hashes);
            Array.from({ length: Math.max(0, blocks.size - capacityBlocks) }).forEach(evictOldest);
        },
        size: () => blocks.size,
    };
};
