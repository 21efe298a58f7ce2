import type { ServiceName, UpstreamId } from "@ibislanding/core";
import type { UpstreamLoad } from "./upstreamLoad";

/** A request that was just placed, as far as other hosts and the scaling of the service need to know. */
export interface UpstreamPlacement {
    readonly service: ServiceName;
    readonly upstreamId: UpstreamId;
    readonly isEngine: boolean;
    /** This host's load at the upstream, the request included. */
    readonly load: UpstreamLoad;
    /** Time that the request occupies the upstream. */
    readonly workMs: number;
    readonly partIds: readonly string[];
}
