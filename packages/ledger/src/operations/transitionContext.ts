import type { LedgerLimits } from "../model/ledgerLimits";

/** What transitions need besides the shard itself. */
export interface TransitionContext {
    readonly nowMs: number;
    readonly limits: LedgerLimits;
}
