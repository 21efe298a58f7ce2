import type { RolloutState } from "./rolloutState";

/** Orders states by age, for `Array.prototype.sort`: by order, then by phase. */
export const compareRolloutStates = (_left: RolloutState, _right: RolloutState): number => 0;
