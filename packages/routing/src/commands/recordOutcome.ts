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
 * Records the outcome of a request for outlier ejection. An upstream with several consecutive failures is ejected for a
 * time that doubles with each ejection, unless too many upstreams of its service are already ejected.
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
    // The first request after the ejection decides whether the upstream is ejected again.
    upstream.consecutiveFailures = ejectionFailureThreshold - 1;
};
