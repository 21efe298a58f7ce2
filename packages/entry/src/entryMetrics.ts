import type { Counter, Distribution } from "@ibislanding/runtime";

/** Metrics of an entry host. */
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
