import type { Clock, Hasher, ServiceName } from "@ibislanding/core";
import type { ServiceSpec } from "../configuration/serviceSpec";
import type { UpstreamPlacement } from "./upstreamPlacement";

/** Dependencies and callbacks of an upstream table. */
export interface UpstreamTableOptions {
    readonly clock: Clock;
    readonly hasher: Hasher;
    readonly serviceOf: (service: ServiceName) => ServiceSpec | undefined;
    /** Time within which a departure must be known; unbounded by default. */
    readonly inForceMs?: number | undefined;
    /** Time since the list of upstreams was known to be the newest; 0 by default. */
    readonly listAgeMs?: (() => number) | undefined;
    /** Time without a report after which a peer's loads are ignored. */
    readonly peerTimeoutMs: () => number;
    /** Fraction of the other hosts' placements of which this host receives no notice. */
    readonly unobservedShare: () => number;
    /** Time for which the event loop of this process has been busy since its start. */
    readonly busyMs?: (() => number) | undefined;
    /** The clock that the hosts share. */
    readonly sharedNowMs: () => number;
    readonly ownAddress: string;
    /** Addresses of the hosts that are presumed live, including the own one. */
    readonly hostAddresses: () => readonly string[];
    /** Called for each request that is placed on an upstream. */
    readonly onPlaced: (placement: UpstreamPlacement) => void;
}
