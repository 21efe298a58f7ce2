import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import type { Candidate } from "./candidate";
import { estimateBacklogTokens } from "./estimateBacklogTokens";
import { estimateSequences } from "./estimateSequences";
import { prefillTokensPerMs } from "./prefillTokensPerMs";
import { priceOf } from "./priceOf";
import type { SelectionRequest } from "./selectionRequest";

const MS_PER_HOUR = 3_600_000;
const BYTES_PER_GIGABYTE = 1e9;
const DEFAULT_CONCURRENT_SEQUENCES = 16;

const cachedTokensOf = (
    { options }: RoutingState,
    { prefixIndex }: UpstreamState,
    { blockHashes, promptTokens }: SelectionRequest,
    nowMs: number,
): number => Math.min(promptTokens, prefixIndex.countMatchingBlocks(blockHashes, nowMs) * options.blockTokens);

/** Predicts the time to first token and the cost of a request at one upstream. */
export const createCandidate = (
    state: RoutingState,
    upstream: UpstreamState,
    request: SelectionRequest,
    nowMs: number,
): Candidate => {
    const { options } = state;
    const cachedTokens = cachedTokensOf(state, upstream, request, nowMs);
    const prefillMs = (request.promptTokens - cachedTokens) / prefillTokensPerMs(upstream);
    const waitMs = estimateBacklogTokens(state, upstream, nowMs) / prefillTokensPerMs(upstream);

    const sequences = estimateSequences(upstream, state.entryHostCount, nowMs);
    const slots = upstream.report?.concurrentSequences ?? DEFAULT_CONCURRENT_SEQUENCES;
    const usableSlots = request.isResume ? slots : Math.max(1, slots * (1 - options.drainHeadroomShare));
    const sequenceMs = state.meanSequenceMs.get(request.service) ?? options.initialSequenceMs;
    const slotWaitMs = Math.max(0, sequences + 1 - usableSlots) * sequenceMs / slots
        * options.slotWaitFactors[request.priority];

    const isSameRegion = upstream.description.region === request.region;
    const delayMs = isSameRegion ? options.sameRegionDelayMs : options.crossRegionDelayMs;
    const idleFirstTokenMs = 2 * delayMs + options.engineOverheadMs + prefillMs;

    const { pricePerHour, crossRegionPricePerGigabyte } = priceOf(state, upstream);
    const machineMs = prefillMs + sequenceMs / slots;
    const transferCost = isSameRegion ? 0 : request.transferBytes / BYTES_PER_GIGABYTE * crossRegionPricePerGigabyte;
    const weightedPrice = pricePerHour ** options.priceExponent;
    return {
        upstream,
        cachedTokens,
        sequences,
        predictedFirstTokenMs: idleFirstTokenMs + Math.max(waitMs, slotWaitMs),
        idleFirstTokenMs,
        costEstimate: weightedPrice * machineMs / MS_PER_HOUR + transferCost,
    };
};
