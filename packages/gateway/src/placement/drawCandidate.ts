import type { PlacementCandidate } from "./placementCandidate";
import { predictMs } from "./predictMs";

/** Additional cost up to which a candidate may be drawn instead of the one of lowest cost: half of a prompt's work. */
const MARGIN_MS = 60;

/** Difference of measured round trips up to which two upstreams are equally near: less than between zones. */
const EQUALLY_NEAR_MS = 5;

interface Alternative {
    readonly candidate: PlacementCandidate;
    readonly weight: number;
}

/** Returns the alternative that a fraction of the sum of the weights falls on. */
const drawOne = (alternatives: readonly Alternative[], fraction: number): PlacementCandidate | undefined => {
    let rest = fraction * alternatives.reduce((sum, { weight }) => sum + weight, 0);
    return alternatives.find(({ weight }) => {
        rest -= weight;
        return rest < 0;
    })?.candidate;
};

/**
 * Returns the candidate of lowest cost or one that costs little more, drawn in proportion to how much less than the limit
 * it costs; `fraction` is a random number from 0 to below 1. A candidate that is farther away than the one of lowest cost
 * is used only if it is predicted to respond earlier, in spite of its way, than the nearer one drawn.
 *
 * Handles many hosts that choose at the same moment from the same loads, which are up to two seconds old: all would send
 * to the engine that had the lowest load, and overload the engines in turns. A cached prefix that saves more than the
 * margin is always used.
 */
export const drawCandidate = (
    candidates: readonly PlacementCandidate[],
    costMs: (candidate: PlacementCandidate) => number,
    fraction: number,
): PlacementCandidate | undefined => {
    const costs: number[] = [];
    let lowest = 0;
    // This runs for all upstreams of each request; intermediate arrays took 30 instead of a few microseconds at 63 of them.
    candidates.forEach((candidate, index) => {
        const cost = costMs(candidate);
        costs.push(cost);
        lowest = cost < (costs[lowest] ?? 0) ? index : lowest;
    });
    const limitMs = (costs[lowest] ?? 0) + MARGIN_MS;
    const alternatives: Alternative[] = [];
    candidates.forEach((candidate, index) => {
        const weight = limitMs - (costs[index] ?? 0);
        if (weight > 0) {
            alternatives.push({ candidate, weight });
        }
    });
    const nearMs = (candidates[lowest]?.roundTripMs ?? 0) + EQUALLY_NEAR_MS;
    const drawn = drawOne(alternatives, fraction);
    if (drawn === undefined || drawn.roundTripMs <= nearMs) {
        return drawn;
    }
    const near = drawOne(alternatives.filter(({ candidate }) => candidate.roundTripMs <= nearMs), fraction);
    return near === undefined || predictMs(drawn) < predictMs(near) ? drawn : near;
};
