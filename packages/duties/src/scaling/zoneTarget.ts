import type { AvailabilityZone } from "@ibislanding/core";

/** Numbers of upstreams to have in an availability zone. */
export interface ZoneTarget {
    readonly availabilityZone: AvailabilityZone;
    readonly onDemand: number;
    readonly reclaimable: number;
}
