/**
 * Phase of a rollout.
 *
 * - `canary`: a small share of the requests goes to the target
 * - `ramp`: a larger share, as the exposure budget permits
 * - `promoting`: new requests go to the target, and the other versions finish the running ones
 * - `completed`: the other versions may be stopped
 * - `rolled-back`: the target receives nothing
 */
export type RolloutPhase = "canary" | "ramp" | "promoting" | "completed" | "rolled-back";
