import type { AvailabilityZone, UpstreamId } from "@ibislanding/core";

/** An upstream that may be probed. */
export interface ProbeTarget {
    readonly upstreamId: UpstreamId;
    readonly availabilityZone: AvailabilityZone;
    readonly address: { readonly ip: string; readonly port: number; };
}
