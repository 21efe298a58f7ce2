import type { Clock, RequestId } from "@ibislanding/core";
import type { PlacementRequest } from "../placement/placementRequest";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { UpstreamTable } from "../upstreams/upstreamTable";
import type { EnginePort } from "./enginePort";

/** A run to be moved away from its upstream. */
export interface EvacuationOptions {
    readonly clock: Clock;
    readonly engines: EnginePort;
    readonly upstreams: UpstreamTable;
    readonly upstream: UpstreamRecord;
    readonly requestId: RequestId;
    /**
     * Returns the placement request that selects the target; without a prompt, as the run continues from its KV cache.
     */
    readonly placementRequest: () => PlacementRequest;
    /** Aborts when the run has ended. */
    readonly signal: AbortSignal;
    readonly onMove: (target: UpstreamRecord, outcome: string) => void;
}
