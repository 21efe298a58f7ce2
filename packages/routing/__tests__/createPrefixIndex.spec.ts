import { createPrefixIndex } from "@ibislanding/routing";

const chain = Array.from({ length: 10 }, (_, index) => `block-${index}`);
const stored = (
    hashes: readonly string[],
    from = 1,
): Parameters<ReturnType<typeof createPrefixIndex>["applyChanges"]>[0] =>
    hashes.map((blockHash, index) => ({ sequence: from + index, type: "stored", blockHash }));

describe("createPrefixIndex", () => {
    it("expires guessed blocks, and keeps confirmed blocks until an event evicts them", () => {
        const index = createPrefixIndex(100, 1_000);
        index.addGuesses(chain, 0);
        expect([index.countMatchingBlocks(chain, 999), index.countMatchingBlocks(chain, 1_000)]).toEqual([10, 0]);
        index.applyChanges(stored(chain), 10, 1_500);
        expect(index.countMatchingBlocks(chain, 1_000_000)).toBe(10);
        index.applyChanges([{ sequence: 11, type: "evicted", blockHash: "block-4" }], 11, 1_000_000);
        expect(index.countMatchingBlocks(chain, 1_000_000)).toBe(4);
    });

    it("counts a block as cached although its event is missing, and expires all earlier blocks after a large gap", () => {
        const index = createPrefixIndex(100, 1_000);
        index.applyChanges(stored(chain).filter(({ sequence }) => sequence !== 3), 10, 0);
        expect(index.countMatchingBlocks(chain, 0)).toBe(10);
        index.applyChanges([], 60, 10_000);
        expect([index.countMatchingBlocks(chain, 10_500), index.countMatchingBlocks(chain, 11_000)]).toEqual([10, 0]);
    });

    it("never exceeds its maximum size and ignores duplicate events", () => {
        const index = createPrefixIndex(6, 1_000);
        index.addGuesses(chain, 0);
        expect([index.size(), index.countMatchingBlocks(chain.slice(0, 6), 0)]).toEqual([6, 6]);
        index.applyChanges(stored(chain.slice(0, 2)), 2, 0);
        index.applyChanges([{ sequence: 2, type: "cleared", blockHash: "" }], 2, 0);
        expect(index.size()).toBe(6);
    });
});
