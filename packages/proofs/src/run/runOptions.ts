import type { FaultKind } from "../faults/faultKind";

/** One run against real processes. */
export interface RunOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly faults: readonly FaultKind[];
    /** Length of an outage of the key-value service. */
    readonly outageMs: number;
    readonly chatCallers: number;
    readonly actionCallers: number;
    readonly operators: number;
    /** Bound for a change to be in force everywhere; undefined checks no time. */
    readonly inForceMs: number | undefined;
    /** Bound for new work to a leaving upstream to end; undefined checks no time. */
    readonly leavingMs: number | undefined;
    readonly distDirectory: string;
    /** Directory for the history. */
    readonly reportDirectory: string;
}
