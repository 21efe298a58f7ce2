import type { PlacementCandidate } from "./placementCandidate";
import type { PlacementDecision } from "./placementDecision";
import type { PlacementRequest } from "./placementRequest";
import { predictMs } from "./predictMs";

/** Retry hint while a service has no usable upstream: a replacement or a return takes about this long. */
const NO_UPSTREAM_RETRY_MS = 400;

/** A first event this much later than the objective is worth little, and the work delays those still in time. */
const MAXIMUM_OBJECTIVE_FACTOR = 1.5;

/** Part of the objective up to which a prediction is safe: answers come later than predicted by up to a third. */
const SAFE_OBJECTIVE_FACTOR = 0.7;

/** A request of an account above its rate runs where it leaves others time to meet their objectives. */
const SPARE_OBJECTIVE_FACTOR = 0.5;

/** Part of the remaining time that the first event may take; a later one leaves no time for the rest of the answer. */
const MAXIMUM_FIRST_EVENT_SHARE = 0.6;

/** An upstream that vanished from the registry without a notice is likely gone. */
const MISSING_PENALTY_MS = 2_000;

/** Requests beyond the slots that wait at an upstream; past this factor it refuses them soon. */
const MAXIMUM_REQUESTS_PER_SLOT = 2;

const isEligible = (candidate: PlacementCandidate, request: PlacementRequest): boolean =>
    !candidate.record.isLeaving && !request.excluded.has(candidate.record.upstreamId);

const hasCapacity = ({ running, record, isAtConnectionLimit }: PlacementCandidate): boolean =>
    !isAtConnectionLimit && running < record.slots * MAXIMUM_REQUESTS_PER_SLOT;

const missingPenaltyMs = ({ isMissing }: PlacementCandidate): number => isMissing ? MISSING_PENALTY_MS : 0;

/**
 * Time to the first event, plus what the choice costs others: prompt work that a cached prefix would have saved, and
 * bytes over long links, for which the round trip stands.
 */
const costMs = (candidate: PlacementCandidate): number =>
    predictMs(candidate)
    + candidate.roundTripMs
    + candidate.affinityPenaltyMs
    + (candidate.isEngine ? candidate.promptMs : 0)
    + missingPenaltyMs(candidate);

const minimumBy = (
    candidates: readonly PlacementCandidate[],
    measureMs: (candidate: PlacementCandidate) => number,
): PlacementCandidate | undefined =>
    candidates.reduce<PlacementCandidate | undefined>(
        (best, candidate) => best === undefined || measureMs(candidate) < measureMs(best) ? candidate : best,
        undefined,
    );

/** The cheapest upstream among those that are safely in time; the soonest where none is. */
const selectCandidate = (
    candidates: readonly PlacementCandidate[],
    objectiveMs: number,
): PlacementCandidate | undefined => {
    const safe = candidates.filter(candidate => predictMs(candidate) <= objectiveMs * SAFE_OBJECTIVE_FACTOR);
    return minimumBy(safe, costMs)
        ?? minimumBy(candidates, candidate => predictMs(candidate) + missingPenaltyMs(candidate));
};

/**
 * Chooses the upstream of a request, or refuses it when no upstream is predicted to answer in time.
 *
 * Answers a load in which prompts arrive faster than the engines process them: a prompt goes where its prefix is
 * cached until the backlog there costs more than processing the prefix again or endangers its objective, and a request whose first event would
 * come too late for the rest of its answer is refused at its arrival instead of waiting.
 */
export const chooseUpstream = (
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
): PlacementDecision => {
    const eligible = candidates.filter(candidate => isEligible(candidate, request));
    const healthy = eligible.filter(({ isEjected }) => !isEjected);
    const considered = healthy.length > 0 ? healthy : eligible;
    if (considered.length === 0) {
        return { kind: "refuse", reason: "no-upstream", retryAfterMs: NO_UPSTREAM_RETRY_MS };
    }
    const chosen = selectCandidate(considered.filter(hasCapacity), request.objectiveMs);
    const latestFirstEventMs = Math.min(
        request.remainingMs * MAXIMUM_FIRST_EVENT_SHARE,
        request.objectiveMs * (request.requiresSpareCapacity ? SPARE_OBJECTIVE_FACTOR : MAXIMUM_OBJECTIVE_FACTOR),
    );
    if (chosen === undefined || predictMs(chosen) > latestFirstEventMs) {
        const excessMs = chosen === undefined ? request.objectiveMs / 2 : predictMs(chosen) - latestFirstEventMs / 2;
        return { kind: "refuse", reason: "saturated", retryAfterMs: Math.max(NO_UPSTREAM_RETRY_MS / 2, excessMs) };
    }
    const { record, backlogMs, promptMs, running } = chosen;
    return { kind: "send", upstream: record, predictedMs: predictMs(chosen), backlogMs, promptMs, running };
};
