import type { Clock, RequestId } from "@ibislanding/core";
import type { PlacementRequest } from "../placement/placementRequest";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { UpstreamTable } from "../upstreams/upstreamTable";
import type { EnginePort } from "./enginePort";

/** One run that is to leave its upstream. */
export interface EvacuationOptions {
    readonly clock: Clock;
    readonly engines: EnginePort;
    readonly upstreams: UpstreamTable;
    readonly upstream: UpstreamRecord;
    readonly requestId: RequestId;
    /** What the choice of the target depends on; the run's memory comes with it. */
    readonly placementRequest: () => PlacementRequest;
    /** Aborts when the run ends. */
    readonly signal: AbortSignal;
    readonly onMove: (target: UpstreamRecord, outcome: string) => void;
}
