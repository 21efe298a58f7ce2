import type { PlacementCandidate } from "./placementCandidate";

/** Each running request slightly lengthens an engine's decoding steps. */
const RUNNING_PENALTY_MS = 1;

/** Predicts the time to the first event of a stream, or to the end of a plain response. */
export const predictMs = (candidate: PlacementCandidate): number => {
    const { isEngine, running, record, backlogMs, promptMs, unexplainedDelayMs, overheadMs, roundTripMs } = candidate;
    return isEngine
        ? roundTripMs + overheadMs + backlogMs + promptMs + unexplainedDelayMs + running * RUNNING_PENALTY_MS
        : roundTripMs + unexplainedDelayMs + promptMs * Math.max(1, (running + 1) / record.slots);
};
