import type { RecoveryCosts } from "./recoveryCosts";

/** Returns whether importing the exported KV cache or recomputing it costs less. */
export const chooseRecovery = (costs: RecoveryCosts): "import" | "recompute" => {
    const tokens = Math.max(0, costs.promptTokens + costs.deliveredTokens - costs.expectedCachedTokens);
    const prefillSeconds = tokens / costs.prefillTokensPerSecond;
    const transferSeconds = costs.cacheBytes / costs.transferBytesPerSecond;
    const recomputePrice = prefillSeconds * (costs.pricePerPrefillSecond + costs.pricePerSecondOfDelay);
    const importPrice = costs.cacheBytes * costs.pricePerByte + transferSeconds * costs.pricePerSecondOfDelay;
    return importPrice < recomputePrice ? "import" : "recompute";
};
