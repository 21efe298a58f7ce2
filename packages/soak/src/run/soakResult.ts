import type { Violation } from "../checks/violation";
import type { FaultStep } from "../faults/faultStep";

/** What a run has shown. */
export interface SoakResult {
    readonly steps: readonly FaultStep[];
    readonly violations: readonly Violation[];
    /** Attempts by outcome. */
    readonly outcomes: ReadonlyMap<string, number>;
    readonly runs: number;
    /** Hosts whose last stop did not end with code 0. */
    readonly uncleanStops: readonly string[];
}
