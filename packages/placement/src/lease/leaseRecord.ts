/** Value of a lease key. The key is never deleted, so that its fencing number only increases. */
export interface LeaseRecord {
    readonly fencingNumber: number;
    readonly holder: string;
    /** Different in every write, so that a writer recognises its own after a lost answer. */
    readonly writeId: string;
    /** Time after which the lease lapses unless it is renewed. */
    readonly durationMs: number;
    /** Whether the holder gave the lease back and sends nothing under it any more. */
    readonly released: boolean;
    /** With a lease given back: time for which upstreams that don't check fencing numbers must still be left alone. */
    readonly settlingMs: number;
}
