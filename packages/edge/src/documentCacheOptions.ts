import type { UpstreamRecord } from "@ibislanding/gateway";
import type { HostEntry } from "./hostEntry";

/** Callbacks of a document cache. */
export interface DocumentCacheOptions {
    readonly onUpstreams: (records: readonly UpstreamRecord[]) => void;
    readonly onHosts: (hosts: readonly HostEntry[]) => void;
    /** Whether a collector currently tells this host when upstreams and hosts change. */
    readonly isRelayed: () => boolean;
}
