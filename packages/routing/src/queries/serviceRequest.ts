import type { AvailabilityZone, Region, UpstreamId } from "@ibislanding/core";

/** Properties of a call by which its replica of a plain service is selected. */
export interface ServiceRequest {
    readonly service: string;
    /** Location of this entry host. */
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
    /** Replicas that failed or refused this call. */
    readonly excluded: ReadonlySet<UpstreamId>;
}
