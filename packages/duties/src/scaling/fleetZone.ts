import type { AvailabilityZone } from "@ibislanding/core";

/** One availability zone as planning sees it. */
export interface FleetZone {
    readonly availabilityZone: AvailabilityZone;
    /** Price of an on-demand upstream second. */
    readonly price: number;
    /** Upstreams that run and are not leaving. */
    readonly onDemand: number;
    readonly reclaimable: number;
    /** Whether an order for reclaimable upstreams was refused a short time ago. */
    readonly isReclaimableRefused: boolean;
}
