import type { AvailabilityZone, Region, UpstreamId } from "@ibislanding/core";
import type { UpstreamKind } from "./upstreamKind";
import type { UpstreamPhase } from "./upstreamPhase";

/** One upstream as the host list shows it; the list lags. */
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
    /** Time by which a leaving upstream is gone, when known. */
    readonly deadlineMs?: number;
}
