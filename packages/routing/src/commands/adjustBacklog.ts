import { estimateBacklogTokens } from "../queries/estimateBacklogTokens";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";

/** Adds prompt tokens to the estimated backlog of an upstream; a negative number removes tokens. */
export const adjustBacklog = (
    state: RoutingState,
    upstream: UpstreamState,
    tokens: number,
    nowMs: number,
): void => {
    upstream.backlogTokens = Math.max(0, estimateBacklogTokens(state, upstream, nowMs) + tokens);
    upstream.backlogAtMs = nowMs;
};
