import type { UpstreamId } from "@ibislanding/core";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { isEjected } from "./isEjected";

/** Returns the upstreams of a service that accept new requests and satisfy the predicate `accepts`. */
export const listEligibleUpstreams = (
    state: RoutingState,
    service: string,
    excluded: ReadonlySet<UpstreamId>,
    accepts: (upstream: UpstreamState) => boolean,
    nowMs: number,
): readonly UpstreamState[] =>
    [...state.upstreams.values()].filter(upstream =>
        upstream.description.service === service
        && upstream.description.phase === "live"
        && upstream.listed
        && !upstream.leaving
        && !isEjected(upstream, nowMs)
        && !excluded.has(upstream.description.upstreamId)
        && accepts(upstream)
    );
