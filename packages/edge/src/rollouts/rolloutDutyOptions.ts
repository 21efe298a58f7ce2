import type { ServiceName } from "@ibislanding/core";
import type { UpstreamTable } from "@ibislanding/gateway";
import type { RolloutBounds } from "@ibislanding/rollouts";
import type { EdgeOptions } from "../edgeOptions";
import type { Rollouts } from "./rollouts";

/** Dependencies of the duty that advances rollouts. */
export interface RolloutDutyOptions extends Pick<EdgeOptions, "log" | "store" | "storeEpoch" | "documents"> {
    readonly rollouts: Rollouts;
    readonly bounds: RolloutBounds;
    readonly upstreams: Pick<UpstreamTable, "records">;
    /** Whether the configuration has a service; undefined while there is no configuration. */
    readonly hasService: (service: ServiceName) => boolean | undefined;
    /** Cluster time. */
    readonly nowMs: () => number;
    readonly haveAllPeersReportedSince: (timeMs: number) => boolean;
}
