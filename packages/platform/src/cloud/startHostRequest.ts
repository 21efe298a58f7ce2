import type { AvailabilityZone } from "@ibislanding/core";

/** Order for a new upstream host. */
export interface StartHostRequest {
    /** A retry with the same id starts no second host. */
    readonly operationId: string;
    readonly service: string;
    readonly machineClass: string;
    readonly availabilityZone: AvailabilityZone;
    readonly reclaimable: boolean;
    readonly fencingNumber: number;
}
