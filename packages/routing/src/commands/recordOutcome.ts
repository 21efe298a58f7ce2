import { isEjected } from "../queries/isEjected";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";

const canEject = (state: RoutingState, upstream: UpstreamState, nowMs: number): boolean => {
    const serviceUpstreams = [...state.upstreams.values()].filter(({ description }) =>
        description.service === upstream.description.service && description.phase === "live"
    );
    const ejected = serviceUpstreams.filter(peer => isEjected(peer, nowMs)).length;
    return ejected + 1 <= serviceUpstreams.length * state.options.maximumEjectedShare;
};

/**
 * Counts a request's success or failure towards an upstream's ejection. An upstream that fails several times in a row is
 * ejected for a time that doubles, unless too many of its service's upstreams are ejected already.
 */
export const recordOutcome = (
    state: RoutingState,
    upstream: UpstreamState,
    outcome: "succeeded" | "failed",
    nowMs: number,
): void => {
    const { ejectionFailureThreshold, initialEjectionMs, maximumEjectionMs } = state.options;
    if (outcome === "succeeded") {
        upstream.consecutiveFailures = 0;
        upstream.consecutiveEjections = 0;
        return;
    }
    upstream.consecutiveFailures++;
    const isDue = upstream.consecutiveFailures >= ejectionFailureThreshold && !isEjected(upstream, nowMs);
    if (!isDue || !canEject(state, upstream, nowMs)) {
        return;
    }
    upstream.ejectedUntilMs = nowMs
        + Math.min(maximumEjectionMs, initialEjectionMs * 2 ** upstream.consecutiveEjections);
    upstream.consecutiveEjections++;
    // The first request after the ejection decides whether it is ejected again.
    upstream.consecutiveFailures = ejectionFailureThreshold - 1;
};
