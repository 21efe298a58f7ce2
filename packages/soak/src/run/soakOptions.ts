import type { TimeBounds } from "../checks/timeBounds";
import type { FaultKind } from "../faults/faultKind";

/** Options of a run. */
export interface SoakOptions {
    readonly seed: number;
    /** Time in which faults begin. */
    readonly durationMs: number;
    readonly kinds: readonly FaultKind[];
    readonly callers: number;
    /** Undefined leaves out the checks that depend on time. */
    readonly bounds: TimeBounds | undefined;
}
