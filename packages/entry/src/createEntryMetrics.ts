import type { MetricsRegistry } from "@ibislanding/runtime";
import type { EntryMetrics } from "./entryMetrics";

/** Registers the metrics of an entry host. */
export const createEntryMetrics = (registry: MetricsRegistry): EntryMetrics => ({
    requests: registry.counter("ibis_requests_total", "Requests by kind and outcome code."),
    refusals: registry.counter("ibis_refusals_total", "Requests refused before running, by code."),
    attempts: registry.counter("ibis_upstream_attempts_total", "Attempts at upstreams by service and outcome."),
    tokens: registry.counter("ibis_generated_tokens_total", "Tokens delivered to callers."),
    promptTokens: registry.counter("ibis_prompt_tokens_total", "Prompt tokens of accepted requests."),
    cachedTokens: registry.counter("ibis_cached_prompt_tokens_total", "Prompt tokens found in prefix caches."),
    firstTokenMs: registry.distribution("ibis_first_token_milliseconds", "Time to the first token."),
    betweenTokensMs: registry.distribution("ibis_between_tokens_milliseconds", "Time between tokens."),
});
