import type { ServiceName } from "@ibislanding/core";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { RegisteredVersion } from "./registeredVersion";
import type { VersionRow } from "./versionRow";

/** Versions of each service's software, as registered over the last time. */
export interface VersionHistory {
    readonly observe: (records: readonly UpstreamRecord[]) => void;
    /** Versions with which a stream that is still under way can have begun; those known longest come first. */
    readonly versionsOf: (service: ServiceName) => readonly RegisteredVersion[];
    readonly rows: () => readonly VersionRow[];
    /** Adds versions that were registered before this host started. */
    readonly observeRows: (rows: readonly VersionRow[]) => void;
}
