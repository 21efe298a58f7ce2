import type { AvailabilityZone, Region, UpstreamId } from "@ibislanding/core";

/** A call that needs a replica of a plain service. */
export interface ServiceRequest {
    readonly service: string;
    /** Place of this entry host. */
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
    /** Replicas that failed or refused this call. */
    readonly excluded: ReadonlySet<UpstreamId>;
}
