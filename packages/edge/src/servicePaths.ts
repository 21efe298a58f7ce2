import type { ServiceName, UpstreamId } from "@ibislanding/core";
import type { ReachabilityMonitor } from "@ibislanding/relay";
import type { ServicePath } from "./servicePath";

/** The links of a host to the upstreams of each service. */
export interface ServicePaths extends AsyncDisposable {
    readonly monitorOf: (service: ServiceName) => ReachabilityMonitor;
    /** Links to the service of a registered upstream; undefined for an unknown one. */
    readonly ofUpstream: (upstreamId: UpstreamId) => ServicePath | undefined;
    /** Services whose links have been used since this process started. */
    readonly services: () => readonly ServiceName[];
}
