import type { AvailabilityZone } from "@ibislanding/core";

/** Where and on what kind of host a replica runs. */
export interface ReplicaChoice {
    readonly availabilityZone: AvailabilityZone;
    readonly machineClass: string;
    readonly reclaimable: boolean;
}
