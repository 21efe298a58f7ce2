import type { CacheChange } from "../model/cacheChange";
import type { PrefixIndex } from "./prefixIndex";

interface Belief {
    readonly kind: "confirmed" | "guessed" | "evicted";
    readonly atMs: number;
}

/** Part of the expected events whose absence makes earlier knowledge doubtful. */
const LARGE_GAP_SHARE = 0.5;

const MINIMUM_LARGE_GAP = 16;

/** Creates an empty index. */
export const createPrefixIndex = (maximumBlocks: number, guessLifetimeMs: number): PrefixIndex => {
    // A Map keeps insertion order, so that its first keys are the least recently used.
    const beliefs = new Map<string, Belief>();
    let lastSequence: number | undefined;
    let largeGapAtMs = Number.NEGATIVE_INFINITY;
    let held = 0;
    let capacity: number | undefined;

    const forget = (blockHash: string): void => {
        const belief = beliefs.get(blockHash);
        held -= belief === undefined || belief.kind === "evicted" ? 0 : 1;
        beliefs.delete(blockHash);
    };

    const remember = (blockHash: string, belief: Belief): void => {
        forget(blockHash);
        held += belief.kind === "evicted" ? 0 : 1;
        beliefs.set(blockHash, belief);
    };

    const trim = (): void => {
        while (beliefs.size > maximumBlocks) {
            forget(beliefs.keys().next().value as string);
        }
    };

    const handlers: Readonly<Record<CacheChange["type"], (blockHash: string, atMs: number) => void>> = {
        stored: (blockHash, atMs) => remember(blockHash, { kind: "confirmed", atMs }),
        evicted: (blockHash, atMs) => {
            capacity = Math.max(held, 1);
            remember(blockHash, { kind: "evicted", atMs });
        },
        cleared: () => {
            beliefs.clear();
            held = 0;
        },
    };

    const isHeld = (belief: Belief, nowMs: number): boolean => {
        const sinceMs = belief.kind === "guessed" ? belief.atMs : Math.max(belief.atMs, largeGapAtMs);
        const isDoubtful = belief.kind === "guessed" || belief.atMs < largeGapAtMs;
        return belief.kind !== "evicted" && (!isDoubtful || nowMs - sinceMs < guessLifetimeMs);
    };

    const guessOf = (blockHash: string, nowMs: number): Belief =>
        beliefs.get(blockHash)?.kind === "confirmed"
            ? { kind: "confirmed", atMs: nowMs }
            : { kind: "guessed", atMs: nowMs };

    return {
        guess: (blockHashes, nowMs) => {
            // Last blocks first, so that a prefix outlives what builds on it.
            [...blockHashes].reverse().forEach(blockHash => remember(blockHash, guessOf(blockHash, nowMs)));
            trim();
        },
        apply: (changes, newestSequence, nowMs) => {
            const fresh = changes.filter(change => change.sequence > (lastSequence ?? -1));
            const expected = lastSequence === undefined ? fresh.length : newestSequence - lastSequence;
            const missing = expected - fresh.length;
            if (missing >= MINIMUM_LARGE_GAP && missing > expected * LARGE_GAP_SHARE) {
                largeGapAtMs = nowMs;
            }
            fresh.forEach(change => handlers[change.type](change.blockHash, nowMs));
            lastSequence = Math.max(lastSequence ?? 0, newestSequence);
            trim();
        },
        matchingBlocks: (blockHashes, nowMs) => {
            const known = blockHashes.map(blockHash => beliefs.get(blockHash));
            const evicted = known.findIndex(belief => belief?.kind === "evicted");
            return known.slice(0, evicted === -1 ? known.length : evicted)
                .findLastIndex(belief => belief !== undefined && isHeld(belief, nowMs)) + 1;
        },
        size: () => held,
        capacity: () => capacity,
    };
};
