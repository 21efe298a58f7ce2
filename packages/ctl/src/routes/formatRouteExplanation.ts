import { renderTable } from "../output/renderTable";
import type { RouteExplanationResponse } from "./routeExplanationResponse";

type Destination = RouteExplanationResponse["destinations"][number];
type Candidate = Destination["candidates"][number];

const formatMs = (durationMs: number): string => `${Math.round(durationMs)} ms`;

const formatDecision = ({ decision }: Destination): string => {
    if (decision.kind === "send") {
        const fallback = decision.isFallback ? ", as the target of the rollout has no place" : "";
        return `send to ${decision.upstreamId}, predicted ${formatMs(decision.predictedMs)}${fallback}`;
    }
    return decision.kind === "refuse"
        ? `refuse (${decision.reason}), retry after ${formatMs(decision.retryAfterMs)}`
        : `not known (${decision.reason})`;
};

const formatRule = ({ versionRule: { kind, versions, upstreamIds } }: Destination): string =>
    [kind, ...versions, ...upstreamIds === undefined ? [] : [`at ${upstreamIds.join(" ")}`]].join(" ");

const formatState = (candidate: Candidate): string => {
    const states = [
        ...candidate.isLeaving ? ["leaving"] : [],
        ...candidate.isVersionAllowed ? [] : ["other version"],
        ...candidate.pausedMs > 0 ? [`paused ${formatMs(candidate.pausedMs)}`] : [],
        ...candidate.isEjected ? ["ejected"] : [],
        ...candidate.isMissing ? ["missing"] : [],
        ...candidate.isAtConnectionLimit ? ["connection limit"] : [],
    ];
    return states.length === 0 ? "-" : states.join(", ");
};

const toRow = (candidate: Candidate): readonly string[] => [
    candidate.upstreamId,
    candidate.softwareVersion,
    candidate.availabilityZone,
    formatMs(candidate.predictedMs),
    formatMs(candidate.backlogMs),
    `${candidate.running}/${candidate.slots}`,
    candidate.loadAgeMs === undefined ? "-" : formatMs(candidate.loadAgeMs),
    formatState(candidate),
];

const formatDestination = (destination: Destination): string =>
    [
        `service ${destination.service}, weight ${destination.weight}, versions: ${formatRule(destination)}`,
        ...destination.isCutOff
            ? ["This host reaches no upstream of the service; a peer that it relays to decides."]
            : [],
        `decision: ${formatDecision(destination)}`,
        renderTable([
            ["UPSTREAM", "VERSION", "ZONE", "PREDICTED", "BACKLOG", "RUNNING", "LOAD AGE", "STATE"],
            ...[...destination.candidates].sort((left, right) => left.predictedMs - right.predictedMs).map(toRow),
        ]),
    ].join("\n");

/** Renders an explanation: the route, and for each service the decision and its candidates, earliest response first. */
export const formatRouteExplanation = (explanation: RouteExplanationResponse): string => {
    const { route, pathPrefix, accountId = "none", priority, objectiveMs, remainingMs, destinations } = explanation;
    return [
        `route ${route} (${pathPrefix}), configuration ${explanation.configurationVersion}, account ${accountId}, `
        + `priority ${priority}, objective ${formatMs(objectiveMs)}, deadline ${formatMs(remainingMs)}`,
        ...explanation.isDrawn ? ["The host draws among upstreams of similar cost; the cheapest is named."] : [],
        ...explanation.quarantinedParts.length === 0
            ? []
            : [`refused (prompt_part_quarantined): ${explanation.quarantinedParts.join(" ")}`],
        ...destinations.map(formatDestination),
    ].join("\n");
};
