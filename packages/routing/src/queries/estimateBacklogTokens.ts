import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { prefillTokensPerMs } from "./prefillTokensPerMs";

/**
 * Estimates the prompt tokens waiting for prefill at an upstream: the previous estimate, minus the tokens processed
 * since then, plus those sent by the other entry hosts, each of which is assumed to send at the same rate as this one.
 */
export const estimateBacklogTokens = (state: RoutingState, upstream: UpstreamState, nowMs: number): number => {
    const elapsedMs = Math.max(0, nowMs - upstream.backlogAtMs);
    const otherHostsTokensPerMs = upstream.tokenRate.ratePerMs(nowMs) * (state.entryHostCount - 1);
    return Math.max(0, upstream.backlogTokens + (otherHostsTokensPerMs - prefillTokensPerMs(upstream)) * elapsedMs);
};
