import type { HostId, ServiceName, SoftwareVersion } from "@ibislanding/core";
import type { VersionCounts } from "@ibislanding/gateway";
import type { VersionEvidence } from "@ibislanding/rollouts";

/** Counters of all hosts by version and route, as far as this host knows. */
export interface RolloutEvidence {
    /** Replaces the counters of a peer, or of all members of a collector. */
    readonly observePeer: (hostId: HostId, counts: readonly VersionCounts[]) => void;
    readonly evidenceOf: (service: ServiceName) => readonly VersionEvidence[];
    /** Requests that run at other versions than the given one, over all hosts. */
    readonly runningExcept: (service: ServiceName, version: SoftwareVersion) => number;
}
