import type { Counter, Distribution } from "@ibislanding/runtime";

/** Metrics that the request handlers of an entry host record. */
export interface EntryMetrics {
    readonly requests: Counter;
    readonly refusals: Counter;
    readonly attempts: Counter;
    readonly tokens: Counter;
    readonly promptTokens: Counter;
    readonly cachedTokens: Counter;
    readonly firstTokenMs: Distribution;
    readonly betweenTokensMs: Distribution;
}
