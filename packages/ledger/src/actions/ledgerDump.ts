/** State of a ledger for operators. */
export interface LedgerDump {
    /** Claims of this process by status. */
    readonly claims: Readonly<Record<string, number>>;
    /** Operations that wait for a commit, by shard. */
    readonly pendingOperations: readonly number[];
    /** Records whose end is still to be written. */
    readonly unrecordedEnds: number;
}
