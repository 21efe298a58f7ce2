import type { AvailabilityZone, Clock, RandomSource } from "@ibislanding/core";
import type { RelayEnd } from "./relayEnd";

/** Dependencies of the client. */
export interface RelayClientOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** `ip:port` of this host's listener for other hosts. */
    readonly ownAddress: string;
    readonly ownZone: AvailabilityZone;
    /** Addresses of the other hosts' relay listeners. */
    readonly peerAddresses: () => readonly string[];
    readonly onEnd: (end: RelayEnd) => void;
}
