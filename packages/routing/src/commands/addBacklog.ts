import { backlogTokensAt } from "../queries/backlogTokensAt";
import type { UpstreamState } from "../state/upstreamState";

/** Adds prompt tokens to an upstream's estimated backlog; negative numbers take tokens off. */
export const addBacklog = (upstream: UpstreamState, tokens: number, nowMs: number): void => {
    upstream.backlogTokens = Math.max(0, backlogTokensAt(upstream, nowMs) + tokens);
    upstream.backlogAtMs = nowMs;
};
