import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { adjustBacklog } from "./adjustBacklog";

/** Corrects the estimated prefill work of a request once the engine has reported its cache hits. */
export const applyAcceptedPrompt = (
    state: RoutingState,
    upstream: UpstreamState,
    requestId: string,
    uncachedTokens: number,
    nowMs: number,
): void => {
    const request = upstream.inFlight.get(requestId);
    if (request === undefined) {
        return;
    }
    adjustBacklog(state, upstream, uncachedTokens - request.uncachedTokens, nowMs);
    upstream.inFlight.set(requestId, { ...request, uncachedTokens });
};
