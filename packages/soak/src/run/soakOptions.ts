import type { TimeBounds } from "../checks/timeBounds";
import type { FaultKind } from "../faults/faultKind";

/** Options of a soak run; the seed determines the schedule of faults and the callers' choices. */
export interface SoakOptions {
    readonly seed: number;
    /** Period in which faults start. */
    readonly durationMs: number;
    readonly kinds: readonly FaultKind[];
    readonly callers: number;
    /** Undefined skips the checks that depend on time. */
    readonly bounds: TimeBounds | undefined;
}
