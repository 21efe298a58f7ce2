import type { PlacementCandidate } from "./placementCandidate";

/** Time within which the new registry entry of an upstream that has restarted reaches every host. */
const REGISTRATION_DELAY_MS = 4_000;

/**
 * Selects the candidates at which a stream may be continued, preferably those that are known to run the registered version.
 *
 * Handles an upstream that crashes and listens again with another version before its new entry arrives. A crash closes all
 * connections, so an upstream to which there has always been one for the delay of the registry has not restarted within it. If
 * there is none, the one that has been connected for longest is the least likely to have restarted.
 */
export const selectContinuing = (candidates: readonly PlacementCandidate[]): readonly PlacementCandidate[] => {
    const oldestMs = Math.max(0, ...candidates.map(({ connectedForMs }) => connectedForMs));
    return candidates.filter(({ connectedForMs }) => connectedForMs >= Math.min(REGISTRATION_DELAY_MS, oldestMs));
};
