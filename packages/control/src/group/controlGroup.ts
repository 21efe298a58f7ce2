import type { ConfigurationFollower, ConfigurationPeers } from "@ibislanding/configuration";
import type { Revision, UpstreamId } from "@ibislanding/core";

/** What control needs of the group of the system's processes; all of it is a hint. */
export interface ControlGroup extends AsyncDisposable {
    /** Ids of the live control hosts with this process itself. */
    readonly controlHosts: () => readonly string[];
    /** Tells all processes that an upstream takes no new work. */
    readonly announceLeaving: (upstreamId: UpstreamId, deadlineMs: number | undefined) => void;
    /** Deadlines of the reclaims that any process announced, by upstream id. */
    readonly reclaimDeadlinesMs: () => ReadonlyMap<string, number>;
    readonly setConfigurationRevision: (revision: Revision) => void;
    /** Calls the listener after members or notices changed. */
    readonly subscribe: (listener: () => void) => void;
    readonly configurationPeers: ConfigurationPeers;
    /** Lets other processes read and announce configurations. */
    readonly serveConfiguration: (follower: ConfigurationFollower) => void;
    /** Tells the group that this process is leaving. */
    readonly leave: () => Promise<void>;
    readonly stateDump: () => unknown;
}
