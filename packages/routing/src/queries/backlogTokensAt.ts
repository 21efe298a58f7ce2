import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { prefillRateOf } from "./prefillRateOf";

/**
 * Estimates the prompt tokens that wait at an upstream: the last estimate, less what it processed since, plus what the
 * other entry hosts sent since if they send as much as this one.
 */
export const backlogTokensAt = (state: RoutingState, upstream: UpstreamState, nowMs: number): number => {
    const elapsedMs = Math.max(0, nowMs - upstream.backlogAtMs);
    const othersPerMs = upstream.tokenRate.ratePerMs(nowMs) * (state.entryHosts - 1);
    return Math.max(0, upstream.backlogTokens + (othersPerMs - prefillRateOf(upstream)) * elapsedMs);
};
