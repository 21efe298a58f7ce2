import type { AvailabilityZone } from "@ibislanding/core";

/** A host that may take relayed requests. */
export interface RelayPeer {
    /** `ip:port` of its relay listener. */
    readonly address: string;
    readonly availabilityZone: AvailabilityZone;
    /** Processing capacity, in cores of the reference speed. */
    readonly cores: number;
}
