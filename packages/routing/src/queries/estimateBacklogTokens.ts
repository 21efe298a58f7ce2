import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { prefillTokensPerMs } from "./prefillTokensPerMs";

/**
 * Estimates the prompt tokens that wait at an upstream: the last estimate, less what it processed since, plus what the
 * other entry hosts sent since if they send as much as this one.
 */
export const estimateBacklogTokens = (state: RoutingState, upstream: UpstreamState, nowMs: number): number => {
    const elapsedMs = Math.max(0, nowMs - upstream.backlogAtMs);
    const otherHostsTokensPerMs = upstream.tokenRate.perMs(nowMs) * (state.entryHostCount - 1);
    return Math.max(0, upstream.backlogTokens + (otherHostsTokensPerMs - prefillTokensPerMs(upstream)) * elapsedMs);
};
