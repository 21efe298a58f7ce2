import type { Clock, Hasher } from "@ibislanding/core";

/** Dependencies of the limits that upstreams state. */
export interface StatedLimitsOptions {
    readonly clock: Clock;
    readonly hasher: Hasher;
    /** The clock that the hosts share. */
    readonly sharedNowMs: () => number;
    readonly ownAddress: string;
    /** Addresses of the hosts that are presumed live, including the own one. */
    readonly hostAddresses: () => readonly string[];
}
