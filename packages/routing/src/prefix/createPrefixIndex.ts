import type { CacheChange } from "../model/cacheChange";
import type { PrefixIndex } from "./prefixIndex";

interface BlockEntry {
    readonly kind: "confirmed" | "guessed" | "evicted";
    readonly atMs: number;
}

/** Fraction of the expected events whose loss makes earlier entries uncertain. */
const LARGE_GAP_SHARE = 0.5;

const MINIMUM_LARGE_GAP = 16;

/** Creates an empty index that tracks at most `maximumBlocks` blocks. */
export const createPrefixIndex = (maximumBlocks: number, guessLifetimeMs: number): PrefixIndex => {
    // A Map iterates in insertion order; entries are reinserted on use, so the first keys are the least recently used.
    const entries = new Map<string, BlockEntry>();
    let lastSequence: number | undefined;
    let largeGapAtMs = Number.NEGATIVE_INFINITY;
    // Number of entries that are not evicted, including guesses that have expired.
    let cachedCount = 0;
    let capacity: number | undefined;

    const removeEntry = (blockHash: string): void => {
        const entry = entries.get(blockHash);
        cachedCount -= entry === undefined || entry.kind === "evicted" ? 0 : 1;
        entries.delete(blockHash);
    };

    const setEntry = (blockHash: string, entry: BlockEntry): void => {
        removeEntry(blockHash);
        cachedCount += entry.kind === "evicted" ? 0 : 1;
        entries.set(blockHash, entry);
    };

    const evictExcess = (): void => {
        while (entries.size > maximumBlocks) {
            removeEntry(entries.keys().next().value as string);
        }
    };

    const handlers: Readonly<Record<CacheChange["type"], (blockHash: string, atMs: number) => void>> = {
        stored: (blockHash, atMs) => setEntry(blockHash, { kind: "confirmed", atMs }),
        evicted: (blockHash, atMs) => {
            capacity = Math.max(cachedCount, 1);
            setEntry(blockHash, { kind: "evicted", atMs });
        },
        cleared: () => {
            entries.clear();
            cachedCount = 0;
        },
    };

    const isCached = (entry: BlockEntry, nowMs: number): boolean => {
        const sinceMs = entry.kind === "guessed" ? entry.atMs : Math.max(entry.atMs, largeGapAtMs);
        const isUncertain = entry.kind === "guessed" || entry.atMs < largeGapAtMs;
        return entry.kind !== "evicted" && (!isUncertain || nowMs - sinceMs < guessLifetimeMs);
    };

    const createGuess = (blockHash: string, nowMs: number): BlockEntry =>
        entries.get(blockHash)?.kind === "confirmed"
            ? { kind: "confirmed", atMs: nowMs }
            : { kind: "guessed", atMs: nowMs };

    return {
        addGuesses: (blockHashes, nowMs) => {
            // The last blocks are inserted first, so that a prefix is evicted after the blocks that extend it.
            [...blockHashes].reverse().forEach(blockHash => setEntry(blockHash, createGuess(blockHash, nowMs)));
            evictExcess();
        },
        applyChanges: (changes, newestSequence, nowMs) => {
            const newChanges = changes.filter(change => change.sequence > (lastSequence ?? -1));
            const expected = lastSequence === undefined ? newChanges.length : newestSequence - lastSequence;
            const missing = expected - newChanges.length;
            if (missing >= MINIMUM_LARGE_GAP && missing > expected * LARGE_GAP_SHARE) {
                largeGapAtMs = nowMs;
            }
            newChanges.forEach(change => handlers[change.type](change.blockHash, nowMs));
            lastSequence = Math.max(lastSequence ?? 0, newestSequence);
            evictExcess();
        },
        countMatchingBlocks: (blockHashes, nowMs) => {
            const promptEntries = blockHashes.map(blockHash => entries.get(blockHash));
            const evicted = promptEntries.findIndex(entry => entry?.kind === "evicted");
            return promptEntries.slice(0, evicted === -1 ? promptEntries.length : evicted)
                .findLastIndex(entry => entry !== undefined && isCached(entry, nowMs)) + 1;
        },
        size: () => cachedCount,
        capacity: () => capacity,
    };
};
