import type { ServiceName, SoftwareVersion } from "@ibislanding/core";
import type { VersionCounts } from "./versionCounts";
import type { VersionPolicy } from "./versionPolicy";

/** Counters of what becomes of the requests that this host sends to upstreams, by version and route. */
export interface VersionCounters {
    readonly trackRun: VersionPolicy["trackRun"];
    /** Counters of the services that are counted. */
    readonly rows: () => readonly VersionCounts[];
    /** Number of requests that run at a version, also of services that are not counted. */
    readonly running: (service: ServiceName, version: SoftwareVersion) => number;
}
