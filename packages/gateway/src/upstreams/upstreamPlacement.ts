import type { ServiceName, UpstreamId } from "@ibislanding/core";
import type { UpstreamLoad } from "./upstreamLoad";

/** A newly placed request, as reported to the other hosts and to the autoscaling of the service. */
export interface UpstreamPlacement {
    readonly service: ServiceName;
    readonly upstreamId: UpstreamId;
    readonly isEngine: boolean;
    /** This host's load at the upstream, including the request. */
    readonly load: UpstreamLoad;
    /** Predicted time for which the request occupies the upstream. */
    readonly workMs: number;
    readonly partIds: readonly string[];
}
