/** Diagnostic state of a ledger, shown to operators. */
export interface LedgerDump {
    /** Number of claims of this process, by status. */
    readonly claims: Readonly<Record<string, number>>;
    /** Number of operations waiting for a commit in this process, by shard. */
    readonly pendingOperations: readonly number[];
    /** Number of claim ends that are not recorded yet. */
    readonly unrecordedEnds: number;
}
