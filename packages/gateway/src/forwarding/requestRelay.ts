import type { UpstreamId } from "@ibislanding/core";
import type { RelayRequestOptions } from "./relayRequestOptions";
import type { RelayRequestResult } from "./relayRequestResult";

/** Watches whether this host reaches upstreams, and passes its requests to a peer while it does not. */
export interface RequestRelay {
    /** Whether this host reaches no upstream although other hosts may. */
    readonly isCutOff: () => boolean;
    /** Resolves when it is known whether upstreams are reached, if that is being checked. */
    readonly checked: () => Promise<void>;
    /** Whether connections that were opened before the cut still deliver answers. */
    readonly hasLiveConnections: () => boolean;
    /** Watches one send; its signal also aborts when the send hangs while this host is cut off. */
    readonly watchSend: (send: {
        readonly upstreamId: UpstreamId;
        readonly objectiveMs: number;
        readonly remainingMs: number;
        readonly signal: AbortSignal;
    }) => { readonly signal: AbortSignal; readonly recordProgress: () => void; readonly end: () => void; };
    readonly send: (request: RelayRequestOptions) => Promise<RelayRequestResult>;
    /** Lower-case names of headers in peers' answers that are not passed to callers. */
    readonly privateHeaders: ReadonlySet<string>;
}
