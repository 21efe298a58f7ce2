import type { FencingNumber } from "@ibislanding/core";

/** A lease as its holder knows it. */
export interface LeaseGrant {
    readonly fencingNumber: FencingNumber;
    /** Version of the lease key after the holder's last confirmed write. */
    readonly version: number;
    /** Monotonic time until which the holder may send orders. */
    readonly validUntilMs: number;
    /** Monotonic time from which upstreams that don't check fencing numbers may get orders. */
    readonly settledAtMs: number;
}
