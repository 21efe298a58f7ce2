/** Stored value of a lease key. The key is never deleted, so that its fencing number never decreases. */
export interface LeaseRecord {
    readonly fencingNumber: number;
    readonly holder: string;
    /** Unique to each write, so that a writer recognises its own write after the response was lost. */
    readonly writeId: string;
    /** Time after which the lease expires unless it is renewed. */
    readonly durationMs: number;
    /** Whether the holder released the lease and sends no further orders under it. */
    readonly released: boolean;
    /** Of a released lease: remaining time without orders to upstreams that do not check fencing numbers. */
    readonly settlingMs: number;
    /** Epoch of the store in which the record was written; 0 if the store has none. */
    readonly storeEpoch: number;
}
