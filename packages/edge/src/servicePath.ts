import type { ServiceName } from "@ibislanding/core";
import type { createCutHistory, ReachabilityMonitor } from "@ibislanding/relay";

/** The links of a host to the upstreams of one service. */
export interface ServicePath {
    readonly service: ServiceName;
    readonly monitor: ReachabilityMonitor;
    readonly history: ReturnType<typeof createCutHistory>;
}
