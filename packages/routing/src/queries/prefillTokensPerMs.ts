import type { UpstreamState } from "../state/upstreamState";

/** Rate of upstreams whose speed is not known yet. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

const MS_PER_SECOND = 1_000;

/** Returns the prompt tokens that an upstream processes in a millisecond. */
export const prefillTokensPerMs = (upstream: UpstreamState): number =>
    (upstream.report?.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND) / MS_PER_SECOND;
