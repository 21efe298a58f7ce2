import type { FaultKind } from "../faults/faultKind";

/** Options of a fault-injection run against real processes. */
export interface RunOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly faults: readonly FaultKind[];
    /** Duration of a key-value service outage. */
    readonly outageMs: number;
    readonly chatCallers: number;
    readonly actionCallers: number;
    readonly operators: number;
    /** Maximum time until an accepted change is in force everywhere; undefined skips the check. */
    readonly inForceMs: number | undefined;
    /** Maximum time for which a draining upstream may get new requests; undefined skips the check. */
    readonly leavingMs: number | undefined;
    readonly distDirectory: string;
    /** Directory of the history file. */
    readonly reportDirectory: string;
}
