import type { HostId, ServiceName, SoftwareVersion } from "@ibislanding/core";
import type { VersionCounts, VersionPolicy } from "@ibislanding/gateway";
import type { EvidenceSeries, VersionGate } from "@ibislanding/rollouts";
import type { RolloutRegistry } from "./rolloutRegistry";
import type { RolloutSummary } from "./rolloutSummary";

/** Follows the rollouts of all services and applies them to the requests of this host. */
export interface Rollouts extends AsyncDisposable {
    readonly registry: RolloutRegistry;
    /** Assigns versions to requests and counts what becomes of them. */
    readonly policy: VersionPolicy;
    /** Returns the rule that the next new request of a service would get, without a charge. */
    readonly peekRule: VersionGate["peekRule"];
    /** Counters of this host, for its report. */
    readonly counts: () => readonly VersionCounts[];
    readonly observePeer: (hostId: HostId, counts: readonly VersionCounts[]) => void;
    /** Evidence since the current order; once it has shown that the target is bad, as of that time. */
    readonly evidenceOf: (service: ServiceName) => EvidenceSeries;
    /** Requests that run at other versions than the given one, over all hosts. */
    readonly runningExcept: (service: ServiceName, version: SoftwareVersion) => number;
    /** What operators are shown of each rollout. */
    readonly summaries: () => readonly RolloutSummary[];
}
