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
    /** Called when the store has answered that it has no newer list of upstreams than the current one. */
    readonly onUpstreamsConfirmed: () => void;
    /** Whether a collector currently tells this host when upstreams and hosts change. */
    readonly isRelayed: () => boolean;
}
