import type { UpstreamId } from "@ibislanding/core";
import type { StartHostRequest } from "@ibislanding/platform";
import type { CloudHost } from "./cloudHost";

/** Starts, stops and looks up the hosts of the cloud stand-in. */
export interface CloudHosts extends AsyncDisposable {
    /** Starts a host; idempotent per operation id, a retry returns the id of the same host. */
    readonly start: (request: StartHostRequest) => UpstreamId;
    readonly hasStarted: (operationId: string) => boolean;
    /** Stops a host immediately, closing its connections. */
    readonly stop: (upstreamId: UpstreamId) => Promise<void>;
    /** Announces that a host will be reclaimed and stops it at the deadline. */
    readonly reclaim: (upstreamId: UpstreamId, deadlineMs: number) => Promise<void>;
    readonly find: (upstreamId: string) => Promise<CloudHost | undefined>;
    /** Returns the live hosts that match the filter; a field that is not set matches all. */
    readonly listLive: (
        filter: { readonly upstreamId?: string; readonly availabilityZone?: string; },
    ) => Promise<readonly CloudHost[]>;
    readonly list: () => readonly CloudHost[];
}
