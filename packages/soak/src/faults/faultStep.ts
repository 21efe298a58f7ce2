import type { FaultKind } from "./faultKind";

/** One planned fault. */
export interface FaultStep {
    readonly kind: FaultKind;
    /** Time after the start of the load. */
    readonly atMs: number;
    readonly forMs: number;
    /** Chooses the target: a number in [0, 1). */
    readonly target: number;
}
