import type { EngineEvent } from "@ibislanding/upstreams";

/** One generation in an engine. */
export interface EngineSequence {
    readonly requestId: string;
    readonly priority: number;
    readonly blockHashes: readonly string[];
    readonly promptTokens: number;
    readonly answer: readonly string[];
    readonly finishReason: "stop" | "length";
    readonly detachedGraceMs: number;
    /** Tokens covered by an imported KV cache. */
    readonly importedTokens: number;
    state: "queued" | "prefill" | "decode" | "finished" | "cancelled";
    cachedTokens: number;
    prefillTokensLeft: number;
    /** Number of answer tokens that exist, delivered before a resume or generated here. */
    generated: number;
    reader: ((event: EngineEvent) => void) | undefined;
    detachedAtMs: number;
}
