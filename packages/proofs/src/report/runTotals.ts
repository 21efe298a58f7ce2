/** Totals of one run. */
export interface RunTotals {
    /** Ends of operations as `operation outcome`, with their number. */
    readonly operations: Readonly<Record<string, number>>;
    /** Faults by kind. */
    readonly faults: Readonly<Record<string, number>>;
}
