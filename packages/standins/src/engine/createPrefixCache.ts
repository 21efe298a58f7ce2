import type { PrefixCache } from "./prefixCache";

/** Creates a cache with least-recently-used eviction. */
export const createPrefixCache = (
    capacityBlocks: number,
    publish: (type: "stored" | "evicted", blockHash: string) => void,
): PrefixCache => {
    const blocks = new Map<string, true>();

    const touch = (hash: string): void => {
        blocks.delete(hash);
        blocks.set(hash, true);
    };

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
            matched.forEach(touch);
            return matched.length;
        },
        store: hashes =>
            hashes.forEach(hash => {
                if (!blocks.has(hash)) {
                    publish("stored", hash);
                }
                touch(hash);
                if (blocks.size > capacityBlocks) {
                    evictOldest();
                }
            }),
        size: () => blocks.size,
    };
};
