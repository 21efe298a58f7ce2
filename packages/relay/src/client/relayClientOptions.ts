import type { AvailabilityZone, Clock, RandomSource } from "@ibislanding/core";
import type { RelayPeer } from "../decisions/relayPeer";
import type { RelayEnd } from "./relayEnd";

/** Dependencies of the client. */
export interface RelayClientOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** `ip:port` of this host's listener for other hosts. */
    readonly ownAddress: string;
    readonly ownZone: AvailabilityZone;
    /** Other hosts that report that they reach upstreams. */
    readonly peers: () => readonly RelayPeer[];
    readonly onEnd: (end: RelayEnd) => void;
}
