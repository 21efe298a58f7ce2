import type { AvailabilityZone } from "@ibislanding/core";

/** State of one availability zone for planning. */
export interface FleetZone {
    readonly availabilityZone: AvailabilityZone;
    /** Price of one on-demand upstream for one second. */
    readonly price: number;
    /** Running upstreams that are not leaving. */
    readonly onDemand: number;
    readonly reclaimable: number;
    /** Whether a request for reclaimable upstreams was refused recently. */
    readonly isReclaimableRefused: boolean;
}
