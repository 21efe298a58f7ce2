import type { ResponseHead } from "../codec/responseHead";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { GatewayOptions } from "./gatewayOptions";

/** Maximum relative extension of a pause, so that hosts which were turned away together do not return together. */
const PAUSE_JITTER = 0.25;

/** Applies what an upstream states about itself in the head of a response: that it is leaving, wants a pause or takes a
 * limited rate. */
export const observeResponseHead = (
    { upstreams, events, random, sharedNowMs }: Pick<GatewayOptions, "upstreams" | "events" | "random" | "sharedNowMs">,
    upstream: UpstreamRecord,
    { isLeaving, pauseMs, limitPerS, invalidHeaders, status }: ResponseHead,
): void => {
    const { upstreamId, startedAtMs } = upstream;
    if (isLeaving && upstreams.observeLeaving(upstream)) {
        events.onUpstreamLeaving({ upstreamId, startedAtMs, status });
    }
    if (upstreams.observeLimit(upstream, limitPerS, sharedNowMs())) {
        events.onUpstreamLimited({ upstreamId, startedAtMs, limitPerS });
    }
    if (pauseMs !== undefined) {
        upstreams.pause(upstream, pauseMs * (1 + random.nextFloat() * PAUSE_JITTER));
        events.onUpstreamPaused({ upstreamId, pauseMs });
    }
    if (invalidHeaders.length > 0) {
        events.onInvalidHeaders({ upstreamId, headers: invalidHeaders });
    }
};
