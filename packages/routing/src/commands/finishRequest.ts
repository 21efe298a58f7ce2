import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { recordOutcome } from "./recordOutcome";

/** Weight of the latest request in the moving average of the sequence duration. */
const SMOOTHING_FACTOR = 0.05;

const recordSequenceDuration = (state: RoutingState, service: string, durationMs: number): void => {
    const meanMs = state.meanSequenceMs.get(service) ?? state.options.initialSequenceMs;
    state.meanSequenceMs.set(service, meanMs + (durationMs - meanMs) * SMOOTHING_FACTOR);
};

/** Records the end of a request at an upstream; only successes and failures count towards ejection. */
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
        upstream.finishedSinceReport.push({ startedAtMs: request.startedAtMs, finishedAtMs: nowMs });
    }
    if (request !== undefined && outcome === "succeeded") {
        recordSequenceDuration(state, upstream.description.service, nowMs - request.startedAtMs);
    }
    if (outcome === "succeeded" || outcome === "failed") {
        recordOutcome(state, upstream, outcome, nowMs);
    }
};
