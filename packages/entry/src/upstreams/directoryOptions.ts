import type { Clock, Hasher, UpstreamId } from "@ibislanding/core";
import type { HostList } from "@ibislanding/platform";
import type { Logger } from "@ibislanding/runtime";
import type { EngineClient, ServiceClient } from "@ibislanding/upstreams";

/** What the directory of upstreams needs. */
export interface DirectoryOptions {
    readonly clock: Clock;
    readonly hasher: Hasher;
    readonly logger: Logger;
    readonly hostList: HostList;
    /** Number that spreads the subsets of upstreams over the entry hosts. */
    readonly rankUpstream: (upstreamId: UpstreamId) => number;
    /** Replicas of one service that this host uses. */
    readonly subsetSize: number;
    readonly createEngineClient: (url: string) => EngineClient & AsyncDisposable;
    readonly createServiceClient: (url: string) => ServiceClient & AsyncDisposable;
    /** Called when an engine reports that it leaves before anyone else did. */
    readonly onLeavingReported: (upstreamId: UpstreamId) => void;
}
