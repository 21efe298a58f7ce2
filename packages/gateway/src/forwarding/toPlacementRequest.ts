import type { PlacementRequest } from "../placement/placementRequest";
import type { ForwardContext } from "./forwardContext";

/** Returns what placement needs to know; a moved run brings its memory and has no prompt to process. */
export const toPlacementRequest = (
    { options, admitted, excluded }: ForwardContext,
    isMoved: boolean,
): PlacementRequest => ({
    promptTokens: isMoved ? 0 : admitted.head.tokens?.prompt ?? 0,
    promptParts: isMoved ? [] : admitted.head.promptParts,
    objectiveMs: admitted.route.objectiveMs,
    isSpare: admitted.admission.kind === "spare",
    remainingMs: admitted.dueAtMs - options.clock.monotonicMs(),
    excluded,
});
