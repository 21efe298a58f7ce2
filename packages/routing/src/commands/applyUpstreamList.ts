import type { UpstreamDescription } from "../model/upstreamDescription";
import { createUpstreamState } from "../state/createUpstreamState";
import type { RoutingState } from "../state/routingState";

/**
 * Applies the host list. An upstream known to be leaving stays marked, because the list may be out of date. An upstream
 * that is no longer listed is removed once it has no requests in flight.
 */
export const applyUpstreamList = (
    state: RoutingState,
    upstreams: readonly UpstreamDescription[],
    nowMs: number,
): void => {
    const listed = new Map(upstreams.map(description => [description.upstreamId, description]));
    [...state.upstreams.values()]
        .filter(({ description, inFlight }) => !listed.has(description.upstreamId) && inFlight.size === 0)
        .forEach(({ description }) => state.upstreams.delete(description.upstreamId));
    [...state.upstreams.values()]
        .filter(({ description }) => !listed.has(description.upstreamId))
        .forEach(upstream => {
            upstream.listed = false;
        });
    listed.forEach(description => {
        const upstream = state.upstreams.get(description.upstreamId)
            ?? createUpstreamState(description, state.options, nowMs);
        upstream.description = description;
        upstream.listed = true;
        upstream.leaving ||= description.phase === "leaving" || description.phase === "gone";
        state.upstreams.set(description.upstreamId, upstream);
    });
};
