/** Conditional write of one key. */
export interface CompareAndSwapRequest {
    readonly key: string;
    /** Required current version of the key; 0 requires that the key does not exist. */
    readonly expectedVersion: number;
    /** New value; undefined deletes the key. */
    readonly value: string | undefined;
    /** Lease that the key is bound to; the key is deleted when the lease ends. */
    readonly leaseId?: string;
}
