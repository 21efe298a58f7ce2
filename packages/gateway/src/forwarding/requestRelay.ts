import type { ServiceName, UpstreamId } from "@ibislanding/core";
import type { RelayRequestOptions } from "./relayRequestOptions";
import type { RelayRequestResult } from "./relayRequestResult";

/** Watches whether this host reaches the upstreams of each service, and passes requests to a peer while it does not. */
export interface RequestRelay {
    /** Whether this host reaches no upstream of the service although other hosts may. */
    readonly isCutOff: (service: ServiceName) => boolean;
    /** Whether no connection to the upstream could be opened lately, although others of its service may be reached. */
    readonly isUnreached: (service: ServiceName, upstreamId: UpstreamId) => boolean;
    /** Hosts that reach more upstreams of the service, if this host does not reach a good part of them; else undefined. */
    readonly betterConnectedHosts: (service: ServiceName) => readonly string[] | undefined;
    /** Resolves when it is known whether upstreams of the service are reached, if that is being checked. */
    readonly checked: (service: ServiceName) => Promise<void>;
    /** Whether connections that were opened before the cut still deliver answers of the service. */
    readonly hasLiveConnections: (service: ServiceName) => boolean;
    /** Watches one send; its signal also aborts when the send hangs because this host does not reach the upstream. */
    readonly watchSend: (send: {
        readonly service: ServiceName;
        readonly upstreamId: UpstreamId;
        /** Whether the request may be sent again if this send is abandoned. */
        readonly mayRepeat: boolean;
        readonly objectiveMs: number;
        readonly remainingMs: number;
        readonly signal: AbortSignal;
    }) => { readonly signal: AbortSignal; readonly recordProgress: () => void; readonly end: () => void; };
    readonly send: (request: RelayRequestOptions) => Promise<RelayRequestResult>;
    /** Lower-case names of headers in peers' answers that are not passed to callers. */
    readonly privateHeaders: ReadonlySet<string>;
}
