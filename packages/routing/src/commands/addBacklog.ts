import { backlogTokensAt } from "../queries/backlogTokensAt";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";

/** Adds prompt tokens to an upstream's estimated backlog; negative numbers take tokens off. */
export const addBacklog = (
    state: RoutingState,
    upstream: UpstreamState,
    tokens: number,
    nowMs: number,
): void => {
    upstream.backlogTokens = Math.max(0, backlogTokensAt(state, upstream, nowMs) + tokens);
    upstream.backlogAtMs = nowMs;
};
