import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { adjustBacklog } from "./adjustBacklog";

/** Corrects the estimated work of a request by what the engine found in its cache. */
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
