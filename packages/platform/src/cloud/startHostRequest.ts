import type { AvailabilityZone } from "@ibislanding/core";

/** Request to start an upstream host. */
export interface StartHostRequest {
    /** Idempotency key: a retry with the same id does not start a second host. */
    readonly operationId: string;
    readonly service: string;
    readonly machineClass: string;
    readonly availabilityZone: AvailabilityZone;
    readonly reclaimable: boolean;
    readonly fencingNumber: number;
}
