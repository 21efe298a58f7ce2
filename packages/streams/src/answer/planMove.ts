import { chooseRecovery } from "../recovery/chooseRecovery";
import type { AnswerOptions } from "./answerOptions";
import type { AttemptPlan } from "./attemptPlan";
import type { SelectedUpstream } from "./selectedUpstream";

const TRANSFER_BYTES_PER_SECOND = 100_000_000;

/** Cost of one second of delay to a caller, in the unit of the upstreams' prices. */
const PRICE_PER_SECOND_OF_DELAY = 0.01;

/** Plans moving a running answer off a leaving upstream, either by importing its KV cache or by recomputing it. */
export const planMove = async (
    from: SelectedUpstream,
    upstream: SelectedUpstream,
    options: AnswerOptions,
): Promise<AttemptPlan> => {
    const deliveredTokens = [...options.journal.tokens()];
    const recompute: AttemptPlan = { type: "generate", upstream, deliveredTokens, cacheHandle: undefined };
    const exported = await from.client.exportCache(options.request.requestId);
    if (exported.err) {
        return recompute;
    }
    const choice = chooseRecovery({
        promptTokens: options.promptTokens,
        deliveredTokens: deliveredTokens.length,
        expectedCachedTokens: upstream.expectedCachedTokens,
        prefillTokensPerSecond: upstream.prefillTokensPerSecond,
        cacheBytes: exported.val.sizeBytes,
        transferBytesPerSecond: TRANSFER_BYTES_PER_SECOND,
        pricePerByte: upstream.pricePerByteFrom(from.upstreamId),
        pricePerPrefillSecond: upstream.pricePerSecond,
        pricePerSecondOfDelay: PRICE_PER_SECOND_OF_DELAY,
    });
    if (choice === "recompute") {
        return recompute;
    }
    const imported = await upstream.client.importCache(from.url, exported.val.handle);
    return imported.err ? recompute : { ...recompute, cacheHandle: imported.val.handle };
};
