import { isEjected } from "../queries/isEjected";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";

const mayEject = (state: RoutingState, upstream: UpstreamState, nowMs: number): boolean => {
    const peers = [...state.upstreams.values()].filter(({ description }) =>
        description.service === upstream.description.service && description.phase === "live"
    );
    const ejected = peers.filter(peer => isEjected(peer, nowMs)).length;
    return ejected + 1 <= peers.length * state.options.maximumEjectedShare;
};

/**
 * Counts a request's success or failure towards an upstream's ejection. An upstream that fails several times in a row is
 * ejected for a time that doubles, unless too many of its service's upstreams are ejected already.
 */
export const noteOutcome = (
    state: RoutingState,
    upstream: UpstreamState,
    outcome: "succeeded" | "failed",
    nowMs: number,
): void => {
    const { ejectionFailures, ejectionMs, maximumEjectionMs } = state.options;
    if (outcome === "succeeded") {
        upstream.failuresInRow = 0;
        upstream.ejections = 0;
        return;
    }
    upstream.failuresInRow++;
    const isDue = upstream.failuresInRow >= ejectionFailures && !isEjected(upstream, nowMs);
    if (!isDue || !mayEject(state, upstream, nowMs)) {
        return;
    }
    upstream.ejectedUntilMs = nowMs + Math.min(maximumEjectionMs, ejectionMs * 2 ** upstream.ejections);
    upstream.ejections++;
    // The first request after the ejection decides whether it is ejected again.
    upstream.failuresInRow = ejectionFailures - 1;
};
