import type { AvailabilityZone } from "@ibislanding/core";

/** Availability zone, machine class and pricing model of the host of a replica. */
export interface ReplicaChoice {
    readonly availabilityZone: AvailabilityZone;
    readonly machineClass: string;
    readonly reclaimable: boolean;
}
