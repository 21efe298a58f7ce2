import type { AvailabilityZone, ServiceName } from "@ibislanding/core";

/** Requested number of a service's upstreams of one price class in an availability zone. */
export interface ScaleRequest {
    readonly service: ServiceName;
    readonly availabilityZone: AvailabilityZone;
    readonly isReclaimable: boolean;
    readonly count: number;
}
