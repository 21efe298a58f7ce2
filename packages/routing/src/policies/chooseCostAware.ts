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
 * Returns the maximum predicted latency for a request. When a prompt is too long to meet its target even on an idle
 * upstream, the bound is the latency of the best idle upstream plus an allowance for queueing, half of the priority's
 * fraction of the target; otherwise such a prompt would always be refused.
 */
const computeLatencyBoundMs = ({ state, request, candidates }: PolicyInput): number => {
    const targetMs = request.firstTokenTargetMs * state.options.targetShares[request.priority];
    const idleMs = Math.min(...candidates.map(({ idleFirstTokenMs }) => idleFirstTokenMs));
    return Math.max(targetMs, idleMs + targetMs / 2);
};

/**
 * Chooses an upstream for an uncached prompt: by rendezvous hashing among low-cost upstreams below the load bound or,
 * for a prompt without a complete block, by predicted latency.
 */
const chooseCold = (input: PolicyInput, withinTarget: readonly Candidate[]): Candidate => {
    const { state, request, random } = input;
    const { uncachedCostTolerance, loadBoundFactor } = state.options;
    const lowCost = withinTolerance(withinTarget, ({ costEstimate }) => costEstimate, uncachedCostTolerance);
    const meanSequences = lowCost.reduce((sum, { sequences }) => sum + sequences, 0) / lowCost.length;
    const belowBound = lowCost.filter(({ sequences }) => sequences <= Math.ceil(meanSequences * loadBoundFactor));
    const [first] = orderByRendezvousHash(state, belowBound, request.blockHashes) ?? [];
    return first ?? choosePowerOfTwo(lowCost, latencyOf, random);
};

/** Chooses an upstream for a prompt that at least one upstream has cached: by cost, weighted by predicted latency. */
const chooseWarm = (input: PolicyInput, withinTarget: readonly Candidate[]): Candidate => {
    const { state, request, random } = input;
    const scoreOf = ({ costEstimate, predictedFirstTokenMs }: Candidate): number =>
        costEstimate * (1 + state.options.latencyWeight * predictedFirstTokenMs / request.firstTokenTargetMs);
    return choosePowerOfTwo(withinTolerance(withinTarget, scoreOf, state.options.scoreTolerance), latencyOf, random);
};

const chooseLowestLatency = (candidates: readonly Candidate[], random: RandomSource): Candidate =>
    choosePowerOfTwo(withinTolerance(candidates, latencyOf, 0), latencyOf, random);

/** Decides whether to accept a request that no upstream is predicted to serve within the latency bound. */
const chooseOverloaded = ({ state, request, candidates, random }: PolicyInput, boundMs: number): PolicyChoice => {
    const best = chooseLowestLatency(candidates, random);
    const overrunMs = request.firstTokenTargetMs * state.options.highPriorityOverrunFactor + best.idleFirstTokenMs;
    const isAccepted = request.isResume || request.priority === "high" && best.predictedFirstTokenMs <= overrunMs;
    return isAccepted
        ? { type: "chosen", candidate: best, meetingTargetCount: 0 }
        : { type: "refused", timeToCapacityMs: best.predictedFirstTokenMs - boundMs };
};

/**
 * Chooses a low-cost candidate among those predicted to stay within the latency bound; uncached prompts are distributed
 * by rendezvous hashing. When no candidate does, only resumed streams and, up to a bound, high-priority requests
 * are accepted.
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
