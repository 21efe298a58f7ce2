import { isVersionAllowed } from "../versions/isVersionAllowed";
import { drawCandidate } from "./drawCandidate";
import type { PlacementCandidate } from "./placementCandidate";
import type { PlacementDecision } from "./placementDecision";
import type { PlacementRequest } from "./placementRequest";
import { predictMs } from "./predictMs";
import { selectContinuing } from "./selectContinuing";
import { selectReliefEngines } from "./selectReliefEngines";

/** `Retry-After` while a service has no eligible upstream: a replacement or a re-registration takes about this long. */
const NO_UPSTREAM_RETRY_MS = 400;

/**
 * Latest acceptable first event, as a multiple of the objective. A later response is of little use to the client, and
 * its prompt work delays requests that can still meet their objectives.
 */
const MAXIMUM_OBJECTIVE_FACTOR = 1.5;

/** Fraction of the objective up to which a prediction is safe: responses arrive up to a third later than predicted. */
const SAFE_OBJECTIVE_FACTOR = 0.7;

/**
 * Limit on the predicted first event of a request whose account is above its rate, as a multiple of the objective: such
 * a request runs only where other requests still meet their objectives.
 */
const SPARE_OBJECTIVE_FACTOR = 0.5;

/**
 * Fraction of the remaining time that the first event may take; a later one leaves no time for the rest of the
 * response.
 */
const MAXIMUM_FIRST_EVENT_SHARE = 0.6;

/** Penalty for an upstream that is missing from the registry and gave no leave notice: it has probably terminated. */
const MISSING_PENALTY_MS = 2_000;

/**
 * Penalty for an upstream that may have announced its departure in the meantime: less than a queue at another one costs, so that the
 * others are not overrun while the registry is away.
 */
const UNCONFIRMED_PENALTY_MS = 200;

/**
 * Maximum requests in flight per slot. Requests beyond the slots queue at the upstream, which soon rejects further
 * ones.
 */
const MAXIMUM_REQUESTS_PER_SLOT = 2;

/**
 * Cost of a prompt at an engine that it avoids, as a multiple of its work. It is read there only if it would wait for longer
 * at all others.
 */
const RELIEF_COST_FACTOR = 4;

/** Cost of the slot that a request takes there. */
const RELIEF_SLOT_COST_MS = 150;

const isEligible = (
    { record }: PlacementCandidate,
    { excluded, softwareVersion, versionRule }: PlacementRequest,
): boolean =>
    !record.isLeaving && !excluded.has(record.upstreamId)
    && (softwareVersion === undefined || record.softwareVersion === softwareVersion)
    && (versionRule.kind === "any" || isVersionAllowed(record, versionRule));

const hasCapacity = ({ running, record, isAtConnectionLimit }: PlacementCandidate): boolean =>
    !isAtConnectionLimit && running < record.slots * MAXIMUM_REQUESTS_PER_SLOT;

const registryPenaltyMs = ({ isMissing, isUnconfirmed }: PlacementCandidate): number =>
    (isMissing ? MISSING_PENALTY_MS : 0) + (isUnconfirmed === true ? UNCONFIRMED_PENALTY_MS : 0);

/**
 * Cost of a candidate: the predicted time to the first event, plus the cost to other requests. The latter is prompt
 * work that a cached prefix would have saved, and traffic over long links, approximated by the round-trip time.
 */
const costMs = (candidate: PlacementCandidate): number =>
    predictMs(candidate)
    + candidate.roundTripMs
    + candidate.affinityPenaltyMs
    + (candidate.isEngine ? candidate.promptMs : 0)
    + registryPenaltyMs(candidate);

const minimumBy = (
    candidates: readonly PlacementCandidate[],
    measureMs: (candidate: PlacementCandidate) => number,
): PlacementCandidate | undefined =>
    candidates.reduce<PlacementCandidate | undefined>(
        (best, candidate) => best === undefined || measureMs(candidate) < measureMs(best) ? candidate : best,
        undefined,
    );

/**
 * Returns the candidate of lowest cost among those safely within the objective, or the fastest one if there are none. An
 * engine that the prompt avoids counts as slower than it is, but not as too late.
 */
const selectCandidate = (
    candidates: readonly PlacementCandidate[],
    avoided: ReadonlySet<PlacementCandidate>,
    objectiveMs: number,
    latestFirstEventMs: number,
    fraction: number | undefined,
): PlacementCandidate | undefined => {
    const avoidanceMs = (candidate: PlacementCandidate): number =>
        avoided.has(candidate) ? candidate.promptMs * RELIEF_COST_FACTOR + RELIEF_SLOT_COST_MS : 0;
    const totalMs = (candidate: PlacementCandidate): number => costMs(candidate) + avoidanceMs(candidate);
    const safe = candidates.filter(candidate =>
        predictMs(candidate) + avoidanceMs(candidate) <= objectiveMs * SAFE_OBJECTIVE_FACTOR
    );
    const timely = candidates.filter(candidate => predictMs(candidate) <= latestFirstEventMs);
    return (fraction === undefined ? minimumBy(safe, totalMs) : drawCandidate(safe, totalMs, fraction))
        ?? minimumBy(
            timely.length > 0 ? timely : candidates,
            candidate => predictMs(candidate) + registryPenaltyMs(candidate) + avoidanceMs(candidate),
        );
};

/**
 * A request that a rollout assigned to a few upstreams of its target runs there also if its answer is predicted to be late. A
 * first slow answer would otherwise keep all others away: a slow version would not be found out, and a sound one not promoted.
 */
const maximumObjectiveFactor = ({ requiresSpareCapacity, versionRule }: PlacementRequest): number => {
    if (requiresSpareCapacity) {
        return SPARE_OBJECTIVE_FACTOR;
    }
    return versionRule.kind === "only" && versionRule.upstreamIds !== undefined ? Infinity : MAXIMUM_OBJECTIVE_FACTOR;
};

/**
 * Selects the upstream for a request, or refuses the request if no upstream is predicted to respond in time.
 *
 * Handles overload, where prompts arrive faster than the engines process them. A prompt is sent to an engine that has
 * its prefix cached until the backlog there costs more than recomputing the prefix or puts the objective at risk. A
 * request whose first event would come too late for the rest of its response is refused on arrival instead of being
 * queued. An upstream that asked this host for a pause, or whose stated limit leaves no room for it, receives nothing until
 * then, also as a last resort. `fraction` is a random number from 0 to below 1 if many hosts choose from old loads; see
 * `drawCandidate`.
 */
export const chooseUpstream = (
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    fraction?: number,
): PlacementDecision => {
    const eligible = candidates.filter(candidate => isEligible(candidate, request));
    if (eligible.length === 0) {
        const isAnyVersion = request.softwareVersion === undefined && request.versionRule.kind === "any";
        const reason = isAnyVersion ? "no-upstream" : "no-upstream-of-version";
        return { kind: "refuse", reason, retryAfterMs: NO_UPSTREAM_RETRY_MS };
    }
    const available = eligible.filter(({ pausedMs }) => pausedMs <= 0);
    if (available.length === 0) {
        return {
            kind: "refuse",
            reason: "paused",
            retryAfterMs: Math.min(...eligible.map(({ pausedMs }) => pausedMs)),
        };
    }
    const healthy = available.filter(({ isEjected }) => !isEjected);
    const considered = healthy.length > 0 ? healthy : available;
    const latestFirstEventMs = Math.min(
        request.remainingMs * MAXIMUM_FIRST_EVENT_SHARE,
        request.objectiveMs * maximumObjectiveFactor(request),
    );
    const withCapacity = considered.filter(hasCapacity);
    const timely = withCapacity.filter(candidate => predictMs(candidate) <= latestFirstEventMs);
    const chosen = selectCandidate(
        request.softwareVersion === undefined || timely.length === 0 ? withCapacity : selectContinuing(timely),
        new Set(request.avoidsReliefEngines === true ? selectReliefEngines(candidates) : []),
        request.objectiveMs,
        latestFirstEventMs,
        fraction,
    );
    if (chosen === undefined || predictMs(chosen) > latestFirstEventMs) {
        const excessMs = chosen === undefined ? request.objectiveMs / 2 : predictMs(chosen) - latestFirstEventMs / 2;
        return { kind: "refuse", reason: "saturated", retryAfterMs: Math.max(NO_UPSTREAM_RETRY_MS / 2, excessMs) };
    }
    const { record, backlogMs, promptMs, running, delayFactor } = chosen;
    // The delay factor is due to other requests at the engine, too.
    const idlePromptMs = promptMs / (delayFactor ?? 1);
    return {
        kind: "send",
        upstream: record,
        predictedMs: predictMs(chosen),
        idleMs: predictMs({ ...chosen, backlogMs: 0, promptMs: idlePromptMs, unexplainedDelayMs: 0, running: 0 }),
        backlogMs,
        promptMs,
        running,
        delayFactor,
    };
};
