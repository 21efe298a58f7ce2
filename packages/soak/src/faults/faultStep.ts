import type { FaultKind } from "./faultKind";

/** A scheduled fault. */
export interface FaultStep {
    readonly kind: FaultKind;
    /** Time after the start of the load. */
    readonly atMs: number;
    /** Duration of the fault, or the downtime of a host or upstream that it ends. */
    readonly forMs: number;
    /** Selects the target host or upstream: a fraction in [0, 1) of the list. */
    readonly target: number;
}
