import type { PlacementCandidate } from "./placementCandidate";

/** Part of a service's engines at which streams go on that run out of time. */
const RELIEF_SHARE = 0.05;

/** Engines from which on one of them is no more than that part. */
const MINIMUM_ENGINES = 20;

/**
 * Selects the engines that prompts avoid while streams run out of time; none in a small fleet.
 *
 * Handles long streams among long prompts. An engine writes hardly any tokens while it reads a prompt, so that a stream at an
 * engine that reads for most of the time ends several times as late. All hosts find the same engines by the order of the ids.
 */
export const selectReliefEngines = (candidates: readonly PlacementCandidate[]): readonly PlacementCandidate[] => {
    const serving = candidates.filter(({ isEngine, isMissing, record }) => isEngine && !isMissing && !record.isLeaving);
    return serving
        .sort((left, right) => left.record.upstreamId < right.record.upstreamId ? -1 : 1)
        .slice(0, serving.length < MINIMUM_ENGINES ? 0 : Math.ceil(serving.length * RELIEF_SHARE));
};
