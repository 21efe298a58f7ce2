import type { InFlightRequest } from "../state/inFlightRequest";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { adjustBacklog } from "./adjustBacklog";

/** Records a request sent to an upstream, with its expected effect on the backlog and the prefix cache. */
export const startRequest = (
    state: RoutingState,
    upstream: UpstreamState,
    requestId: string,
    request: InFlightRequest,
): void => {
    upstream.inFlight.set(requestId, request);
    upstream.prefixIndex.addGuesses(request.blockHashes, request.startedAtMs);
    upstream.startRate.add(1, request.startedAtMs);
    upstream.tokenRate.add(request.uncachedTokens, request.startedAtMs);
    adjustBacklog(state, upstream, request.uncachedTokens, request.startedAtMs);
};
