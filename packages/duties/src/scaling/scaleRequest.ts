import type { AvailabilityZone, ServiceName } from "@ibislanding/core";

/** An order for the number of a service's upstreams of one kind in an availability zone. */
export interface ScaleRequest {
    readonly service: ServiceName;
    readonly availabilityZone: AvailabilityZone;
    readonly isReclaimable: boolean;
    readonly count: number;
}
