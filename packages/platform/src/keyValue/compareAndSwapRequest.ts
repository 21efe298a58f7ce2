/** A conditional write of one key. */
export interface CompareAndSwapRequest {
    readonly key: string;
    /** Version the key must have; 0 when it must not exist. */
    readonly expectedVersion: number;
    /** New value; undefined deletes the key. */
    readonly value: string | undefined;
    /** Lease at whose end the key is deleted. */
    readonly leaseId?: string;
}
