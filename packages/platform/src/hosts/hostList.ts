import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { SystemHostRecord } from "./systemHostRecord";
import type { UpstreamRecord } from "./upstreamRecord";

/** Port to the platform's host list; its results may be stale. */
export interface HostList {
    readonly listUpstreams: () => Promise<Result<readonly UpstreamRecord[], Failure>>;
    readonly listSystemHosts: () => Promise<Result<readonly SystemHostRecord[], Failure>>;
    /** Registers a host of this system; replaces an earlier record of the same host. */
    readonly registerSystemHost: (record: SystemHostRecord) => Promise<Result<void, Failure>>;
}
