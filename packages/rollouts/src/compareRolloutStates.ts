import { compareOrderIds } from "./compareOrderIds";
import type { RolloutPhase } from "./rolloutPhase";
import type { RolloutState } from "./rolloutState";

const PHASE_RANKS: Readonly<Record<RolloutPhase, number>> = {
    canary: 0,
    ramp: 1,
    promoting: 2,
    completed: 3,
    "rolled-back": 4,
};

/** Orders states by age, for `Array.prototype.sort`: by order, then by phase. */
export const compareRolloutStates = (left: RolloutState, right: RolloutState): number =>
    compareOrderIds(left.orderId, right.orderId) || PHASE_RANKS[left.phase] - PHASE_RANKS[right.phase];
