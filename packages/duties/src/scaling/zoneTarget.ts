import type { AvailabilityZone } from "@ibislanding/core";

/** Target numbers of upstreams in an availability zone, by price class. */
export interface ZoneTarget {
    readonly availabilityZone: AvailabilityZone;
    readonly onDemand: number;
    readonly reclaimable: number;
}
