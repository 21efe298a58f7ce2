/** Number of operations and faults of a run. */
export interface RunTotals {
    /** Number of completed operations, by `operation outcome` with the error code if there is one. */
    readonly operations: Readonly<Record<string, number>>;
    /** Number of injected faults by kind. */
    readonly faults: Readonly<Record<string, number>>;
}
