import { estimateBacklogTokens } from "../queries/estimateBacklogTokens";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";

/** Adds prompt tokens to an upstream's estimated backlog; negative numbers take tokens off. */
export const adjustBacklog = (
    state: RoutingState,
    upstream: UpstreamState,
    tokens: number,
    nowMs: number,
): void => {
    upstream.backlogTokens = Math.max(0, estimateBacklogTokens(state, upstream, nowMs) + tokens);
    upstream.backlogAtMs = nowMs;
};
