/** Rules for the transfer of a lease; tests replace single rules to show which failure each one prevents. */
export interface LeaseStrategy {
    /** Returns the fencing number of the next grant. */
    readonly nextFencingNumber: (previous: number) => number;
    /** Returns the time for which a new holder sends no orders to upstreams that do not check fencing numbers. */
    readonly settlingMs: (longestPauseMs: number) => number;
    /**
     * Whether the key is read after a write that conflicted or whose outcome is unknown, to find out whether the write
     * was stored.
     */
    readonly readsBackWrites: boolean;
}
