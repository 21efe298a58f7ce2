import type { VersionRule } from "@ibislanding/rollouts";
import type { Route } from "../configuration/route";
import { chooseUpstream } from "../placement/chooseUpstream";
import type { PlacementCandidate } from "../placement/placementCandidate";
import type { PlacementRequest } from "../placement/placementRequest";
import { predictMs } from "../placement/predictMs";
import { createFallbackRule } from "../versions/createFallbackRule";
import { isVersionAllowed } from "../versions/isVersionAllowed";
import type { CandidateExplanation } from "./candidateExplanation";
import type { DestinationExplanation } from "./destinationExplanation";
import type { ExplainRouteOptions } from "./explainRouteOptions";

const describeRule = (rule: VersionRule): DestinationExplanation["versionRule"] => {
    if (rule.kind === "only") {
        const upstreamIds = rule.upstreamIds === undefined ? undefined : [...rule.upstreamIds];
        return { kind: rule.kind, versions: [rule.version], upstreamIds };
    }
    return { kind: rule.kind, versions: rule.kind === "any" ? [] : [...rule.versions], upstreamIds: undefined };
};

const describeCandidate = (
    candidate: PlacementCandidate,
    rule: VersionRule,
    loadAgeMs: number | undefined,
): CandidateExplanation => {
    const { record, backlogMs, roundTripMs, running, pausedMs, isEjected, isMissing, isAtConnectionLimit } = candidate;
    const { upstreamId, softwareVersion, availabilityZone, slots, isLeaving } = record;
    return {
        upstreamId,
        softwareVersion,
        availabilityZone,
        predictedMs: predictMs(candidate),
        backlogMs,
        roundTripMs,
        running,
        slots,
        loadAgeMs,
        isLeaving,
        pausedMs,
        isEjected,
        isMissing,
        isAtConnectionLimit,
        isVersionAllowed: isVersionAllowed(record, rule),
    };
};

const decide = (
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
): DestinationExplanation["decision"] => {
    const first = chooseUpstream(candidates, request);
    const fallback = createFallbackRule(request.versionRule);
    const isFallback = first.kind === "refuse" && fallback !== undefined;
    const decision = isFallback ? chooseUpstream(candidates, { ...request, versionRule: fallback }) : first;
    return decision.kind === "refuse" ? decision : {
        kind: "send",
        upstreamId: decision.upstream.upstreamId,
        predictedMs: decision.predictedMs,
        isFallback,
    };
};

/** Explains where a new request that goes to the given service would be sent. */
export const explainDestination = (
    { upstreams, streamRelief, peekRule, isCutOff }: ExplainRouteOptions,
    { service, weight }: Route["destinations"][number],
    placement: Omit<PlacementRequest, "versionRule" | "avoidsReliefEngines">,
): DestinationExplanation => {
    const versionRule = peekRule(service);
    const request = { ...placement, avoidsReliefEngines: streamRelief.isActive(service), versionRule };
    const explained = { service, weight, isCutOff: isCutOff(service), versionRule: describeRule(versionRule) };
    // Evaluating an upstream with slots of its hosts may lengthen the time for which all hosts use fewer of them.
    if (upstreams.brittle.isRestricted(service)) {
        return { ...explained, decision: { kind: "unknown", reason: "brittle-upstreams" }, candidates: [] };
    }
    const candidates = upstreams.candidates(service, request);
    return {
        ...explained,
        decision: decide(candidates, request),
        candidates: candidates.map(candidate =>
            describeCandidate(candidate, versionRule, upstreams.loadAgeMs(candidate.record.upstreamId))
        ),
    };
};
