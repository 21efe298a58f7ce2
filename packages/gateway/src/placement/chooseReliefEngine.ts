import type { UpstreamId } from "@ibislanding/core";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import { chooseUpstream } from "./chooseUpstream";
import type { PlacementCandidate } from "./placementCandidate";
import type { PlacementRequest } from "./placementRequest";
import { selectReliefEngines } from "./selectReliefEngines";

/**
 * Selects the engine at which a stream goes on that runs out of time; undefined if it is at such an engine already, or if none
 * has room. Its tokens are copied, so the request has no prompt.
 */
export const chooseReliefEngine = (
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    currentId: UpstreamId,
): UpstreamRecord | undefined => {
    const engines = selectReliefEngines(candidates);
    if (engines.some(({ record }) => record.upstreamId === currentId)) {
        return undefined;
    }
    const decision = chooseUpstream(
        engines.filter(({ running, record }) => running < record.slots),
        request,
    );
    return decision.kind === "send" ? decision.upstream : undefined;
};
