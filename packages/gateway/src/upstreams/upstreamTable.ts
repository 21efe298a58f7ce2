import type { ServiceName, UpstreamId } from "@ibislanding/core";
import type { PlacementCandidate } from "../placement/placementCandidate";
import type { PlacementRequest } from "../placement/placementRequest";
import type { UpstreamLoad } from "./upstreamLoad";
import type { UpstreamRecord } from "./upstreamRecord";

/** All upstreams that a host knows, with their health, load and cached prompt parts. */
export interface UpstreamTable {
    /** Replaces the registered upstreams; those that vanished without a notice are kept for a short time. */
    readonly replace: (records: readonly UpstreamRecord[]) => void;
    readonly records: () => readonly UpstreamRecord[];
    readonly isRegistered: (record: UpstreamRecord) => boolean;
    /** Whether an upstream leaves, or vanished from the registry without a notice. */
    readonly isDeparting: (record: UpstreamRecord) => boolean;
    /** Time that an upstream said it has left. */
    readonly noticeMs: (upstreamId: UpstreamId) => number | undefined;
    /** Calls back when an upstream begins to leave or vanishes; returns a function that ends this. */
    readonly onDeparture: (upstreamId: UpstreamId, callback: () => void) => () => void;
    readonly candidates: (service: ServiceName, request: PlacementRequest) => readonly PlacementCandidate[];
    /** Counts a request as in flight; the returned function ends it. */
    readonly trackRequest: (upstreamId: UpstreamId, request: PlacementRequest) => {
        readonly recordFirstEvent: () => void;
        readonly end: () => void;
    };
    readonly reportSuccess: (upstreamId: UpstreamId, responseMs: number | undefined) => void;
    readonly reportFailure: (upstreamId: UpstreamId, kind: "unreachable" | "failed") => void;
    readonly reportRoundTrip: (upstreamId: UpstreamId, roundTripMs: number) => void;
    readonly changeConnections: (upstreamId: UpstreamId, change: number) => void;
    /** Takes the load that a peer reported. */
    readonly observePeer: (hostName: string, loads: ReadonlyMap<UpstreamId, UpstreamLoad>) => void;
    /** Takes the load and the prompt parts of a request that a peer has just placed. */
    readonly observePlacement: (
        hostName: string,
        upstreamId: UpstreamId,
        load: UpstreamLoad,
        partIds: readonly string[],
    ) => void;
    readonly ownLoads: () => ReadonlyMap<UpstreamId, UpstreamLoad>;
    /** Prompt tokens that an engine of the service processes in a millisecond, learned from answers. */
    readonly tokensPerMs: (service: ServiceName) => number;
    readonly hostCount: () => number;
}
