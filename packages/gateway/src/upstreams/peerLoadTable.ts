import type { UpstreamId } from "@ibislanding/core";
import type { ReportedLoad } from "./reportedLoad";
import type { UpstreamLoad } from "./upstreamLoad";

/** Upstream loads reported by the other hosts. */
export interface PeerLoadTable {
    /** Replaces all loads of a peer by those of its report, which contains the state of the given number of hosts. */
    readonly observe: (hostName: string, loads: ReadonlyMap<UpstreamId, UpstreamLoad>, hostCount: number) => void;
    /** Replaces a host's load at one upstream. */
    readonly observeLoad: (hostName: string, upstreamId: UpstreamId, load: UpstreamLoad) => void;
    /** Loads of an upstream, without those of peers whose reports have expired. */
    readonly loadsOf: (upstreamId: UpstreamId) => readonly ReportedLoad[];
    /** Hosts among which shared limits are divided, this one included. */
    readonly hostCount: () => number;
}
