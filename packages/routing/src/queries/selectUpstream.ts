import type { Failure, RandomSource } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import { routingPolicies } from "../policies/routingPolicies";
import type { RoutingState } from "../state/routingState";
import { createCandidate } from "./createCandidate";
import { createOverloadedFailure } from "./createOverloadedFailure";
import { listEligibleEngines } from "./listEligibleEngines";
import type { Selection } from "./selection";
import type { SelectionRequest } from "./selectionRequest";

/**
 * Selects the engine for a request, or refuses it with `overloaded` and `retryAfterMs`. After a selection the caller
 * must apply `request-started`, so that the next selection takes the request into account.
 */
export const selectUpstream = (
    state: RoutingState,
    request: SelectionRequest,
    nowMs: number,
    random: RandomSource,
): Result<Selection, Failure> => {
    const candidates = listEligibleEngines(state, request, nowMs).map(engine =>
        createCandidate(state, engine, request, nowMs)
    );
    if (candidates.length === 0) {
        return Err(createOverloadedFailure(state.options, state.options.minimumRetryAfterMs, random));
    }
    const choice = routingPolicies[request.policy]({ state, request, candidates, random });
    if (choice.type === "refused") {
        return Err(createOverloadedFailure(state.options, choice.timeToCapacityMs, random));
    }
    const { upstream, cachedTokens, predictedFirstTokenMs, costEstimate } = choice.candidate;
    return Ok({
        upstreamId: upstream.description.upstreamId,
        expectedCachedTokens: cachedTokens,
        predictedFirstTokenMs,
        costEstimate,
        eligibleCount: candidates.length,
        meetingTargetCount: choice.meetingTargetCount,
    });
};
