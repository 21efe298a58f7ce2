import type { PlacementRequest } from "../placement/placementRequest";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { ForwardContext } from "./forwardContext";

/**
 * Returns what placement needs to know; a moved run brings its memory and has no prompt to process. An upstream may be
 * left out beside those that refused or lost the request before.
 */
export const toPlacementRequest = (
    { options, admitted, excluded }: ForwardContext,
    isMoved: boolean,
    additionallyExcluded?: UpstreamRecord,
): PlacementRequest => ({
    promptTokens: isMoved ? 0 : admitted.head.tokens?.prompt ?? 0,
    promptParts: isMoved ? [] : admitted.head.promptParts,
    objectiveMs: admitted.route.objectiveMs,
    requiresSpareCapacity: admitted.admission.kind === "spare",
    remainingMs: admitted.dueAtMs - options.clock.monotonicMs(),
    excluded: additionallyExcluded === undefined ? excluded : new Set([...excluded, additionallyExcluded.upstreamId]),
});
