import type { AvailabilityZone, Region, UpstreamId } from "@ibislanding/core";

/** Entry of one upstream in the host list, which may be out of date. */
export interface UpstreamDescription {
    readonly upstreamId: UpstreamId;
    readonly kind: "engine" | "service";
    /** Name of the service that the upstream belongs to. */
    readonly service: string;
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
    readonly machineClass: string;
    readonly reclaimable: boolean;
    readonly phase: "starting" | "live" | "leaving" | "gone";
}
