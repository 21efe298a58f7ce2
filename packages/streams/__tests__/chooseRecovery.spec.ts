import { chooseRecovery, type RecoveryCosts } from "@ibislanding/streams";

const costs: RecoveryCosts = {
    promptTokens: 8_000,
    deliveredTokens: 100,
    expectedCachedTokens: 0,
    prefillTokensPerSecond: 10_000,
    cacheBytes: 10_000_000,
    transferBytesPerSecond: 100_000_000,
    pricePerByte: 0,
    pricePerPrefillSecond: 0.001,
    pricePerSecondOfDelay: 0.01,
};

describe("chooseRecovery", () => {
    it("imports a cache when the transfer costs less than the prefill", () => {
        expect(chooseRecovery(costs)).toBe("import");
    });

    it("recomputes when the new upstream has the prefix", () => {
        expect(chooseRecovery({ ...costs, expectedCachedTokens: 8_000 })).toBe("recompute");
    });

    it("recomputes when the transfer price exceeds the cost of the prefill", () => {
        expect(chooseRecovery({ ...costs, pricePerByte: 0.00001 })).toBe("recompute");
    });
});
