import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { noteOutcome } from "./noteOutcome";

/** Weight of the newest request in the mean time of a sequence. */
const MEAN_WEIGHT = 0.05;

const noteSequenceTime = (state: RoutingState, service: string, durationMs: number): void => {
    const meanMs = state.sequenceMs.get(service) ?? state.options.initialSequenceMs;
    state.sequenceMs.set(service, meanMs + (durationMs - meanMs) * MEAN_WEIGHT);
};

/** Notes the end of a request at an upstream. */
export const finishRequest = (
    state: RoutingState,
    upstream: UpstreamState,
    requestId: string,
    outcome: "succeeded" | "failed" | "refused" | "cancelled",
    nowMs: number,
): void => {
    const request = upstream.inFlight.get(requestId);
    upstream.inFlight.delete(requestId);
    if (request !== undefined) {
        upstream.finishRate.add(1, nowMs);
        upstream.finishedSince.push({ startedAtMs: request.startedAtMs, finishedAtMs: nowMs });
    }
    if (request !== undefined && outcome === "succeeded") {
        noteSequenceTime(state, upstream.description.service, nowMs - request.startedAtMs);
    }
    if (outcome === "succeeded" || outcome === "failed") {
        noteOutcome(state, upstream, outcome, nowMs);
    }
};
