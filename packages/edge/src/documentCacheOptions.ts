import type { DocumentSet } from "@ibislanding/discovery";
import type { UpstreamRecord } from "@ibislanding/gateway";
import type { HostEntry } from "./hostEntry";

/** Callbacks of a document cache. */
export interface DocumentCacheOptions {
    readonly onUpstreams: (records: readonly UpstreamRecord[]) => void;
    readonly onHosts: (hosts: readonly HostEntry[]) => void;
    readonly onRolloutOrders: (set: DocumentSet) => void;
    readonly onRolloutStates: (set: DocumentSet) => void;
    /** Whether a rollout is under way, so that a lost store must be detected soon. */
    readonly isRollingOut: () => boolean;
    /** Called when the store has answered that the current set was its newest one at most the given time ago. */
    readonly onConfirmed: (set: string, agoMs: number) => void;
    /** Whether others rely on this host, in a large group, to tell them when documents change. */
    readonly isCollector: () => boolean;
    /** Whether a collector currently tells this host when upstreams and hosts change. */
    readonly isRelayed: () => boolean;
}
