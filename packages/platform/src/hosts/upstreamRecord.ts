import type { AvailabilityZone, Region, UpstreamId } from "@ibislanding/core";
import type { UpstreamKind } from "./upstreamKind";
import type { UpstreamPhase } from "./upstreamPhase";

/** Record of an upstream in the host list; may be stale. */
export interface UpstreamRecord {
    readonly upstreamId: UpstreamId;
    readonly kind: UpstreamKind;
    /** Name of the service that the upstream belongs to. */
    readonly service: string;
    /** Base URL of the upstream. */
    readonly url: string;
    readonly region: Region;
    readonly availabilityZone: AvailabilityZone;
    readonly machineClass: string;
    readonly reclaimable: boolean;
    readonly phase: UpstreamPhase;
    /** Time by which a leaving upstream will have stopped, if known. */
    readonly deadlineMs?: number;
}
