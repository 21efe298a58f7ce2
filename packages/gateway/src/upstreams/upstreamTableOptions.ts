import type { Clock, Hasher, ServiceName } from "@ibislanding/core";
import type { ServiceSpec } from "../configuration/serviceSpec";
import type { UpstreamPlacement } from "./upstreamPlacement";

/** What a table of upstreams reads and tells. */
export interface UpstreamTableOptions {
    readonly clock: Clock;
    readonly hasher: Hasher;
    readonly serviceOf: (service: ServiceName) => ServiceSpec | undefined;
    /** Time without a report after which a peer's loads are ignored. */
    readonly peerTimeoutMs: () => number;
    /** Part of the other hosts' placements that this host does not hear of. */
    readonly unobservedShare: () => number;
    /** Called with each request that is placed. */
    readonly onPlaced: (placement: UpstreamPlacement) => void;
}
