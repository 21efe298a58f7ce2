import type { ResponseHead } from "../codec/responseHead";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { GatewayOptions } from "./gatewayOptions";

/** Maximum relative extension of a pause, so that hosts which were turned away together do not return together. */
const PAUSE_JITTER = 0.25;

/** Status with which an upstream rejects a request for lack of capacity. */
const REJECTION_STATUS = 503;

/** Pause of this host after a brittle upstream has rejected a request. */
const REJECTION_PAUSE_MS = 1_000;

/** Applies what an upstream states about itself in the head of a response: that it is leaving, wants a pause, takes a
 * limited rate or is brittle. */
export const observeResponseHead = (
    { upstreams, events, random, sharedNowMs }: Pick<GatewayOptions, "upstreams" | "events" | "random" | "sharedNowMs">,
    upstream: UpstreamRecord,
    { isLeaving, pauseMs, limitPerS, brittleRejectionsPerS, isNotRun, invalidHeaders, status }: ResponseHead,
): void => {
    const { upstreamId, startedAtMs } = upstream;
    if (!isLeaving) {
        upstreams.confirmServing(upstream);
    }
    else if (upstreams.observeLeaving(upstream)) {
        events.onUpstreamLeaving({ upstreamId, startedAtMs, status });
    }
    if (upstreams.observeLimit(upstream, limitPerS, sharedNowMs())) {
        events.onUpstreamLimited({ upstreamId, startedAtMs, limitPerS });
    }
    if (upstreams.brittle.observe(upstream, brittleRejectionsPerS, sharedNowMs())) {
        events.onUpstreamBrittle({ upstreamId, startedAtMs, rejectionsPerS: brittleRejectionsPerS });
    }
    if (isNotRun && status === REJECTION_STATUS && upstreams.brittle.isBrittle(upstream)) {
        upstreams.brittle.observeRejection(upstream, sharedNowMs());
        upstreams.pause(upstream, REJECTION_PAUSE_MS * (1 + random.nextFloat() * PAUSE_JITTER));
        events.onBrittleRejection({ upstreamId, startedAtMs });
    }
    if (pauseMs !== undefined) {
        upstreams.pause(upstream, pauseMs * (1 + random.nextFloat() * PAUSE_JITTER));
        events.onUpstreamPaused({ upstreamId, pauseMs });
    }
    if (invalidHeaders.length > 0) {
        events.onInvalidHeaders({ upstreamId, headers: invalidHeaders });
    }
};
