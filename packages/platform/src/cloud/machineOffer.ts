import type { AvailabilityZone, Region } from "@ibislanding/core";

/** A class of machine that can be started in a zone. */
export interface MachineOffer {
    readonly machineClass: string;
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
    readonly reclaimable: boolean;
    readonly pricePerHour: number;
}
