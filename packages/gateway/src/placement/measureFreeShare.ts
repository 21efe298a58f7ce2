import type { PlacementCandidate } from "./placementCandidate";

/** Returns the fraction of free slots of the upstreams that may be used; 0 if there are none. */
export const measureFreeShare = (candidates: readonly PlacementCandidate[]): number => {
    let slots = 0;
    let used = 0;
    candidates
        .filter(({ record, isEjected, isMissing, pausedMs }) =>
            !record.isLeaving && !isEjected && !isMissing && pausedMs <= 0
        )
        .forEach(({ record, running }) => {
            slots += record.slots;
            used += Math.min(record.slots, running);
        });
    return slots === 0 ? 0 : 1 - used / slots;
};
