import type { AvailabilityZone, Region } from "@ibislanding/core";

/** A machine class that is available in an availability zone, with its price. */
export interface MachineOffer {
    readonly machineClass: string;
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
    readonly reclaimable: boolean;
    readonly pricePerHour: number;
}
