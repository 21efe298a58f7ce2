import type { RandomSource } from "@ibislanding/core";
import type { Candidate } from "../queries/candidate";
import { choosePowerOfTwo } from "./choosePowerOfTwo";
import { orderByRendezvousHash } from "./orderByRendezvousHash";
import type { PolicyChoice } from "./policyChoice";
import type { PolicyInput } from "./policyInput";
import type { RoutingPolicy } from "./routingPolicy";

const latencyOf = ({ predictedFirstTokenMs }: Candidate): number => predictedFirstTokenMs;

const withinTolerance = (
    candidates: readonly Candidate[],
    valueOf: (candidate: Candidate) => number,
    tolerance: number,
): readonly Candidate[] => {
    const bound = Math.min(...candidates.map(valueOf)) * (1 + tolerance);
    return candidates.filter(candidate => valueOf(candidate) <= bound);
};

/**
 * Latency that a request may have. A prompt too long for its target even on an idle upstream gets what the best idle
 * one needs and half the target for waiting, so that it is not refused for ever.
 */
const computeLatencyBoundMs = ({ state, request, candidates }: PolicyInput): number => {
    const targetMs = request.firstTokenTargetMs * state.options.targetShares[request.priority];
    const idleMs = Math.min(...candidates.map(({ idleFirstTokenMs }) => idleFirstTokenMs));
    return Math.max(targetMs, idleMs + targetMs / 2);
};

/** Chooses where a prompt that no upstream holds goes: by its hash, among cheap upstreams below the load bound. */
const chooseCold = (input: PolicyInput, withinTarget: readonly Candidate[]): Candidate => {
    const { state, request, random } = input;
    const { uncachedCostTolerance, loadBoundFactor } = state.options;
    const lowCost = withinTolerance(withinTarget, ({ costEstimate }) => costEstimate, uncachedCostTolerance);
    const meanSequences = lowCost.reduce((sum, { sequences }) => sum + sequences, 0) / lowCost.length;
    const belowBound = lowCost.filter(({ sequences }) => sequences <= Math.ceil(meanSequences * loadBoundFactor));
    const [first] = orderByRendezvousHash(state, belowBound, request.blockHashes) ?? [];
    return first ?? choosePowerOfTwo(lowCost, latencyOf, random);
};

/** Chooses where a prompt goes that some upstream holds: by cost, weighted with predicted latency. */
const chooseWarm = (input: PolicyInput, withinTarget: readonly Candidate[]): Candidate => {
    const { state, request, random } = input;
    const scoreOf = ({ costEstimate, predictedFirstTokenMs }: Candidate): number =>
        costEstimate * (1 + state.options.latencyWeight * predictedFirstTokenMs / request.firstTokenTargetMs);
    return choosePowerOfTwo(withinTolerance(withinTarget, scoreOf, state.options.scoreTolerance), latencyOf, random);
};

const chooseLowestLatency = (candidates: readonly Candidate[], random: RandomSource): Candidate =>
    choosePowerOfTwo(withinTolerance(candidates, latencyOf, 0), latencyOf, random);

/** Decides on a request that no upstream is predicted to serve in time. */
const chooseOverloaded = ({ state, request, candidates, random }: PolicyInput, boundMs: number): PolicyChoice => {
    const best = chooseLowestLatency(candidates, random);
    const overrunMs = request.firstTokenTargetMs * state.options.highPriorityOverrunFactor + best.idleFirstTokenMs;
    const isAccepted = request.isResume || request.priority === "high" && best.predictedFirstTokenMs <= overrunMs;
    return isAccepted
        ? { type: "chosen", candidate: best, meetingTargetCount: 0 }
        : { type: "refused", timeToCapacityMs: best.predictedFirstTokenMs - boundMs };
};

/**
 * Chooses the least cost among the candidates predicted to meet the latency target. When there is none, requests below
 * high priority are refused.
 */
export const chooseCostAware: RoutingPolicy = input => {
    const { state, request, candidates } = input;
    const boundMs = computeLatencyBoundMs(input);
    const withinTarget = candidates.filter(({ predictedFirstTokenMs }) => predictedFirstTokenMs <= boundMs);
    if (withinTarget.length === 0) {
        return chooseOverloaded(input, boundMs);
    }
    const isWarm = withinTarget.some(({ cachedTokens }) =>
        cachedTokens >= request.promptTokens * state.options.warmCacheShare
    );
    const candidate = isWarm ? chooseWarm(input, withinTarget) : chooseCold(input, withinTarget);
    return { type: "chosen", candidate, meetingTargetCount: withinTarget.length };
};
