import type { AvailabilityZone } from "@ibislanding/core";
import type { ZoneDemand } from "./zoneDemand";

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
    /** Reclaimable upstreams that run or have been ordered and are starting; undefined if none are. */
    readonly orderedReclaimable?: number | undefined;
    /** Undefined if orders do not follow the demand of zones. */
    readonly demand?: ZoneDemand | undefined;
}
