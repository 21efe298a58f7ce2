import type { Clock, Hasher, UpstreamId } from "@ibislanding/core";
import type { HostList } from "@ibislanding/platform";
import type { Logger } from "@ibislanding/runtime";
import type { EngineClient, ServiceClient } from "@ibislanding/upstreams";

/** Dependencies and limits of the upstream directory. */
export interface DirectoryOptions {
    readonly clock: Clock;
    readonly hasher: Hasher;
    readonly logger: Logger;
    readonly hostList: HostList;
    /** Rank of an upstream at this host; it differs between hosts, so that their subsets cover all upstreams evenly. */
    readonly rankUpstream: (upstreamId: UpstreamId) => number;
    /** Maximum number of replicas of one service that this host uses. */
    readonly subsetSize: number;
    readonly createEngineClient: (url: string) => EngineClient & AsyncDisposable;
    readonly createServiceClient: (url: string) => ServiceClient & AsyncDisposable;
    /** Called when the load report of an engine shows that it is leaving and no other source did so before. */
    readonly onLeavingReported: (upstreamId: UpstreamId) => void;
}
