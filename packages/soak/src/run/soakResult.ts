import type { Violation } from "../checks/violation";
import type { FaultStep } from "../faults/faultStep";

/** Result of a soak run: the injected faults, the violations found, and totals. */
export interface SoakResult {
    readonly steps: readonly FaultStep[];
    readonly violations: readonly Violation[];
    /** Attempts by outcome. */
    readonly outcomes: ReadonlyMap<string, number>;
    /** Number of request executions that upstreams recorded. */
    readonly runs: number;
    /** Hosts whose process did not exit with code 0 at the end of the run. */
    readonly uncleanStops: readonly string[];
}
