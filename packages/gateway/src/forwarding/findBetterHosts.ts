import type { PlacementDecision } from "../placement/placementDecision";
import type { ForwardContext } from "./forwardContext";

/** Refusals that other hosts need not share, as they may reach upstreams with room. */
const ROOM_REASONS: ReadonlySet<string> = new Set(["saturated", "no-upstream"]);

/**
 * Returns the hosts that may serve a request better than this host would by its decision; undefined if it is served here, as
 * when it was relayed already.
 *
 * Handles hosts that reach a few upstreams of a service only: these would be overrun by the requests of such hosts, while others
 * are idle. A request stays as long as its answer is predicted within its objective.
 */
export const findBetterHosts = (
    { options, admitted }: ForwardContext,
    decision: PlacementDecision,
): readonly string[] | undefined => {
    const { relay, relayed, upstreams } = options;
    const { service, route } = admitted;
    if (relay === undefined || relayed !== undefined || upstreams.brittle.isRestricted(service)) {
        return undefined;
    }
    const isPoor = decision.kind === "refuse"
        ? ROOM_REASONS.has(decision.reason)
        : decision.predictedMs > route.objectiveMs || relay.isUnreached(service, decision.upstream.upstreamId);
    return isPoor ? relay.betterConnectedHosts(service) : undefined;
};
