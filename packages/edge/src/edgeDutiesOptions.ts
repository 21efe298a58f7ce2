import type { AvailabilityZone, ServiceName } from "@ibislanding/core";
import type { UsageCounts } from "@ibislanding/duties";
import type { CompiledConfiguration, UpstreamTable } from "@ibislanding/gateway";
import type { EdgeOptions } from "./edgeOptions";

/** What the duties read of the host. */
export interface EdgeDutiesOptions extends EdgeOptions {
    readonly usage: UsageCounts;
    readonly upstreams: UpstreamTable;
    readonly configuration: () => CompiledConfiguration | undefined;
    /** Whether this host contends for the duties. */
    readonly mayContend: () => boolean;
    /** Monotonic time at which this host first knew an upstream of a service. */
    readonly firstSeenAtMs: (service: ServiceName) => number | undefined;
    /** Engines of a service kept busy by all hosts. */
    readonly busyUpstreams: (service: ServiceName) => number;
    /** Availability zones in which upstreams may run. */
    readonly deployedZones: ReadonlySet<AvailabilityZone>;
    /** True time. */
    readonly nowMs: () => number;
    readonly haveAllPeersReportedSince: (timeMs: number) => boolean;
}
