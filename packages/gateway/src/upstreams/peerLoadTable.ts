import type { UpstreamId } from "@ibislanding/core";
import type { ReportedLoad } from "./reportedLoad";
import type { UpstreamLoad } from "./upstreamLoad";

/** Loads that the other hosts reported. */
export interface PeerLoadTable {
    /** Replaces all loads of a host. */
    readonly observe: (hostName: string, loads: ReadonlyMap<UpstreamId, UpstreamLoad>) => void;
    /** Replaces a host's load at one upstream. */
    readonly observeLoad: (hostName: string, upstreamId: UpstreamId, load: UpstreamLoad) => void;
    /** Loads of an upstream that are not too old. */
    readonly loadsOf: (upstreamId: UpstreamId) => readonly ReportedLoad[];
    /** Hosts among which shared limits are divided, this one included. */
    readonly hostCount: () => number;
}
