import type { UpstreamId } from "@ibislanding/core";
import type { StartHostRequest } from "@ibislanding/platform";
import type { CloudHost } from "./cloudHost";

/** The hosts of the cloud stand-in. */
export interface CloudHosts extends AsyncDisposable {
    /** Starts a host, or returns the one that the same operation started before. */
    readonly start: (request: StartHostRequest) => UpstreamId;
    readonly hasStarted: (operationId: string) => boolean;
    /** Stops a host at once; its connections break. */
    readonly stop: (upstreamId: UpstreamId) => Promise<void>;
    /** Announces the end of a host and stops it at the deadline. */
    readonly reclaim: (upstreamId: UpstreamId, deadlineMs: number) => Promise<void>;
    readonly find: (upstreamId: string) => Promise<CloudHost | undefined>;
    /** Live hosts with the given id and in the given zone. */
    readonly listLive: (
        filter: { readonly upstreamId?: string; readonly availabilityZone?: string; },
    ) => Promise<readonly CloudHost[]>;
    readonly list: () => readonly CloudHost[];
}
