import type { VersionCounts } from "./versionCounts";
import type { VersionPolicy } from "./versionPolicy";

/** Counters of what becomes of the requests that this host sends to upstreams, by version and route. */
export interface VersionCounters {
    readonly trackRun: VersionPolicy["trackRun"];
    /** Counters of the services that are counted. */
    readonly rows: () => readonly VersionCounts[];
}
