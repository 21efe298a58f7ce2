import type { EngineEvent } from "@ibislanding/upstreams";

/** A generation request in an engine, with its progress. */
export interface EngineSequence {
    readonly requestId: string;
    readonly priority: number;
    readonly blockHashes: readonly string[];
    readonly promptTokens: number;
    readonly answer: readonly string[];
    readonly finishReason: "stop" | "length";
    readonly detachedGraceMs: number;
    /** Number of tokens covered by an imported KV cache. */
    readonly importedTokens: number;
    state: "queued" | "prefill" | "decode" | "finished" | "cancelled";
    cachedTokens: number;
    prefillTokensLeft: number;
    /** Number of answer tokens available: those delivered before a resume and those generated here. */
    generated: number;
    reader: ((event: EngineEvent) => void) | undefined;
    detachedAtMs: number;
}
