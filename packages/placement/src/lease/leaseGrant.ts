import type { FencingNumber } from "@ibislanding/core";

/** A lease held by this process, as of its last confirmed write. */
export interface LeaseGrant {
    readonly fencingNumber: FencingNumber;
    /** Version of the lease key after the holder's last confirmed write. */
    readonly version: number;
    /** Monotonic time until which the holder may send orders. */
    readonly validUntilMs: number;
    /** Monotonic time from which orders may be sent to upstreams that do not check fencing numbers. */
    readonly settledAtMs: number;
    /** Epoch of the store that granted the lease; the grant ends when the epoch rises. */
    readonly storeEpoch: number;
}
