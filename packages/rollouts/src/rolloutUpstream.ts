import type { SoftwareVersion, UpstreamId } from "@ibislanding/core";

/** Registered upstream of the service of an order. */
export interface RolloutUpstream {
    readonly upstreamId: UpstreamId;
    readonly softwareVersion: SoftwareVersion;
}
