import type { LedgerLimits } from "../model/ledgerLimits";

/** Inputs of a transition other than the shard itself. */
export interface TransitionContext {
    /** Current shard time. */
    readonly nowMs: number;
    readonly limits: LedgerLimits;
}
