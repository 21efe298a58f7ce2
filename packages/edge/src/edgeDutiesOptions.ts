import type { AvailabilityZone, ServiceName } from "@ibislanding/core";
import type { UsageCounts, UsageRecords } from "@ibislanding/duties";
import type { CompiledConfiguration, UpstreamTable } from "@ibislanding/gateway";
import type { EdgeOptions } from "./edgeOptions";
import type { Rollouts } from "./rollouts/rollouts";

/** State of the host that the duties read, in addition to its ports and settings. */
export interface EdgeDutiesOptions extends EdgeOptions {
    readonly usage: UsageCounts;
    readonly usageRecords: UsageRecords;
    readonly upstreams: UpstreamTable;
    /** Undefined if versions are not rolled out. */
    readonly rollouts: Rollouts | undefined;
    readonly configuration: () => CompiledConfiguration | undefined;
    /** Whether this host contends for the duties. */
    readonly mayContend: () => boolean;
    /** Monotonic time at which this host first saw an upstream of a service. */
    readonly firstSeenAtMs: (service: ServiceName) => number | undefined;
    /** Number of a service's engines that all hosts together keep busy. */
    readonly busyUpstreams: (service: ServiceName) => number;
    /** The same by availability zone of the hosts; undefined in groups of up to 16 hosts, or while that of a zone is unknown. */
    readonly busyUpstreamsByZone: (service: ServiceName) => ReadonlyMap<AvailabilityZone, number> | undefined;
    /** Availability zones in which upstreams may run. */
    readonly deployedZones: ReadonlySet<AvailabilityZone>;
    /** Cluster time. */
    readonly nowMs: () => number;
    readonly haveAllPeersReportedSince: (timeMs: number) => boolean;
}
