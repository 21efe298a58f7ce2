import { createPrefixIndex } from "@ibislanding/routing";

const chain = Array.from({ length: 10 }, (_, index) => `block-${index}`);
const stored = (hashes: readonly string[], from = 1): Parameters<ReturnType<typeof createPrefixIndex>["apply"]>[0] =>
    hashes.map((blockHash, index) => ({ sequence: from + index, type: "stored", blockHash }));

describe("createPrefixIndex", () => {
    it("believes in own routing for a time, and in events until told otherwise", () => {
        const index = createPrefixIndex(100, 1_000);
        index.guess(chain, 0);
        expect([index.matchingBlocks(chain, 999), index.matchingBlocks(chain, 1_000)]).toEqual([10, 0]);
        index.apply(stored(chain), 10, 1_500);
        expect(index.matchingBlocks(chain, 1_000_000)).toBe(10);
        index.apply([{ sequence: 11, type: "evicted", blockHash: "block-4" }], 11, 1_000_000);
        expect(index.matchingBlocks(chain, 1_000_000)).toBe(4);
    });

    it("bridges single missing events, and doubts all after a large gap", () => {
        const index = createPrefixIndex(100, 1_000);
        index.apply(stored(chain).filter(({ sequence }) => sequence !== 3), 10, 0);
        expect(index.matchingBlocks(chain, 0)).toBe(10);
        index.apply([], 60, 10_000);
        expect([index.matchingBlocks(chain, 10_500), index.matchingBlocks(chain, 11_000)]).toEqual([10, 0]);
    });

    it("stays within its bound and ignores events that it has seen", () => {
        const index = createPrefixIndex(6, 1_000);
        index.guess(chain, 0);
        expect([index.size(), index.matchingBlocks(chain.slice(0, 6), 0)]).toEqual([6, 6]);
        index.apply(stored(chain.slice(0, 2)), 2, 0);
        index.apply([{ sequence: 2, type: "cleared", blockHash: "" }], 2, 0);
        expect(index.size()).toBe(6);
    });
});
