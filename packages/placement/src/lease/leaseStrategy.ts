/** Rules by which a lease changes hands; tests replace them to show what each is for. */
export interface LeaseStrategy {
    /** Fencing number of the next grant. */
    readonly nextFencingNumber: (previous: number) => number;
    /** Time for which a new holder leaves alone the upstreams that don't check fencing numbers. */
    readonly settlingMs: (longestPauseMs: number) => number;
    /** Whether an unanswered write is read back. */
    readonly readsBackWrites: boolean;
}
