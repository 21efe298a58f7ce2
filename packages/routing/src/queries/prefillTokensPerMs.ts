import type { UpstreamState } from "../state/upstreamState";

/** Rate assumed for upstreams that have not reported theirs. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

const MS_PER_SECOND = 1_000;

/** Returns the prefill rate of an upstream in tokens per millisecond. */
export const prefillTokensPerMs = (upstream: UpstreamState): number =>
    (upstream.report?.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND) / MS_PER_SECOND;
