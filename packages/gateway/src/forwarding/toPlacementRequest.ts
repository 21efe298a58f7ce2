import type { VersionRule } from "@ibislanding/rollouts";
import type { PlacementRequest } from "../placement/placementRequest";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { ForwardContext } from "./forwardContext";

/**
 * Creates the placement request of a forwarded request. A moved run continues from its KV cache, so there is no prompt
 * to process, and its events are those of its version. One upstream may be excluded in addition to those of earlier attempts.
 */
export const toPlacementRequest = (
    { options, admitted, excluded, softwareVersion }: ForwardContext,
    isMoved: boolean,
    versionRule: VersionRule,
    additionallyExcluded?: UpstreamRecord,
): PlacementRequest => ({
    promptTokens: isMoved ? 0 : admitted.head.tokens?.prompt ?? 0,
    promptParts: isMoved ? [] : admitted.head.promptParts,
    objectiveMs: admitted.route.objectiveMs,
    requiresSpareCapacity: admitted.admission.kind === "spare",
    avoidsReliefEngines: !isMoved && options.streamRelief.isActive(admitted.service),
    requiresKnownVersion: admitted.route.isResumable,
    remainingMs: admitted.dueAtMs - options.clock.monotonicMs(),
    excluded: additionallyExcluded === undefined ? excluded : new Set([...excluded, additionallyExcluded.upstreamId]),
    softwareVersion: isMoved ? additionallyExcluded?.softwareVersion ?? softwareVersion : softwareVersion,
    versionRule,
});
