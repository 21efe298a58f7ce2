import type { ServiceName, UpstreamId } from "@ibislanding/core";
import type { BrittleUpstreams } from "../brittle/brittleUpstreams";
import type { StatedLimits } from "../limits/statedLimits";
import type { PlacementCandidate } from "../placement/placementCandidate";
import type { PlacementRequest } from "../placement/placementRequest";
import type { VersionHistory } from "../streams/versionHistory";
import type { TrackedConnection } from "./trackedConnection";
import type { UpstreamLoad } from "./upstreamLoad";
import type { UpstreamRecord } from "./upstreamRecord";

/** All upstreams known to a host, with their health, load and cached prompt parts. */
export interface UpstreamTable {
    /**
     * Replaces the registered upstreams; those that disappear without a leave notice are kept for a short time. `replacedAgeMs` is how
     * old the list is that is replaced, 0 by default.
     */
    readonly replace: (records: readonly UpstreamRecord[], replacedAgeMs?: number) => void;
    readonly records: () => readonly UpstreamRecord[];
    readonly versionsOf: VersionHistory["versionsOf"];
    /** Versions of all services, to be kept for hosts that start later. */
    readonly versionRows: VersionHistory["rows"];
    /** Adds versions that were registered before this host started. */
    readonly observeVersions: VersionHistory["observeRows"];
    readonly isRegistered: (record: UpstreamRecord) => boolean;
    /** Whether this start of an upstream has announced that it is leaving. */
    readonly isLeaving: (record: UpstreamRecord) => boolean;
    /** Whether an upstream is leaving, or is no longer in the registry although it gave no leave notice. */
    readonly isDeparting: (record: UpstreamRecord) => boolean;
    /** Remaining time that an upstream announced before it terminates. */
    readonly noticeMs: (upstreamId: UpstreamId) => number | undefined;
    /**
     * Registers a callback that runs once when an upstream begins to leave or disappears from the registry; returns a
     * function that cancels it.
     */
    readonly onDeparture: (upstreamId: UpstreamId, callback: () => void) => () => void;
    readonly candidates: (service: ServiceName, request: PlacementRequest) => readonly PlacementCandidate[];
    /** Time since the oldest of the peers' loads at an upstream was received; undefined if only this host's own is known. */
    readonly loadAgeMs: (upstreamId: UpstreamId) => number | undefined;
    /** Whether many hosts choose from loads that reports bring late, without notices of each other's placements. */
    readonly areLoadsOld: () => boolean;
    /** Counts a request as in flight until `end` is called on the returned object. */
    readonly trackRequest: (upstreamId: UpstreamId, request: PlacementRequest) => {
        readonly recordFirstEvent: () => void;
        /**
         * Records events that were received together, the first ones included; `isDelayed` if the gap before them is due to
         * the client, which was slow to read.
         */
        readonly recordEvents: (events: number, isDelayed: boolean) => void;
        /** `isBrokenOff` if the upstream may not know yet that the request has ended. */
        readonly end: (isBrokenOff?: boolean) => void;
        /**
         * Predicts the time to the first event, or to the plain answer, as of the call, at a typical upstream with the
         * load of this one; what was learned of this one's own speed is left out.
         */
        readonly typicalMs: () => number;
    };
    /**
     * Records that this start of an upstream is leaving, as it or a peer states; returns whether that was unknown.
     */
    readonly observeLeaving: (upstream: Pick<UpstreamRecord, "upstreamId" | "startedAtMs">) => boolean;
    /** Records that this start of an upstream has just answered without stating that it is leaving. */
    readonly confirmServing: (upstream: Pick<UpstreamRecord, "upstreamId" | "startedAtMs">) => void;
    /** Starts of upstreams that are leaving, for the other hosts, as long as the upstream is known otherwise. */
    readonly leaving: () => readonly (readonly [upstreamId: UpstreamId, startedAtMs: number])[];
    /**
     * Records the limit that a response of an upstream states, or a peer reports, at the given time of the shared clock:
     * requests a second of all hosts together, undefined for none, or NaN for an unreadable one. Returns whether the
     * limit has changed.
     */
    readonly observeLimit: (
        upstream: Pick<UpstreamRecord, "upstreamId" | "startedAtMs">,
        limitPerS: number | undefined,
        atMs: number,
    ) => boolean;
    /** Limits that upstreams have stated, for the other hosts. */
    readonly limits: StatedLimits["rows"];
    /** Upstreams that crash under rejections, and what this host may send to them. */
    readonly brittle: BrittleUpstreams;
    /** Records that this start of an upstream has crashed; until it is registered again, its version is not known. */
    readonly observeCrash: (upstream: Pick<UpstreamRecord, "upstreamId" | "startedAtMs">) => void;
    /** Whether this start of an upstream was found to have crashed. */
    readonly hasCrashed: (upstream: Pick<UpstreamRecord, "upstreamId" | "startedAtMs">) => boolean;
    /** Takes `observeCrash` back. */
    readonly forgetCrash: (upstream: Pick<UpstreamRecord, "upstreamId" | "startedAtMs">) => void;
    /** Excludes an upstream from placement for a time, as it asked for. */
    readonly pause: (upstream: UpstreamRecord, durationMs: number) => void;
    readonly reportSuccess: (upstreamId: UpstreamId, responseMs: number | undefined) => void;
    readonly reportFailure: (upstreamId: UpstreamId, kind: "unreachable" | "failed") => void;
    /** Forgets failures, ejections and lateness of a service's upstreams, as after a cut of this host from them. */
    readonly forgetFailures: (service: ServiceName) => void;
    readonly reportRoundTrip: (upstreamId: UpstreamId, roundTripMs: number) => void;
    /** Counts a connection to this start of an upstream as open until its end. */
    readonly trackConnection: (upstream: Pick<UpstreamRecord, "upstreamId" | "startedAtMs">) => TrackedConnection;
    /** Replaces the loads of a peer by those of its report, which contains the state of the given number of hosts. */
    readonly observePeer: (
        hostName: string,
        loads: ReadonlyMap<UpstreamId, UpstreamLoad>,
        hostCount: number,
    ) => void;
    /** Applies a peer's notice of a placement: its load at the upstream and the prompt parts of the request. */
    readonly observePlacement: (
        hostName: string,
        upstreamId: UpstreamId,
        load: UpstreamLoad,
        partIds: readonly string[],
    ) => void;
    /** Engines whose streams at this host are at least a fifth slower or faster than predicted, with the factor. */
    readonly delayFactors: () => ReadonlyMap<UpstreamId, number>;
    readonly ownLoads: () => ReadonlyMap<UpstreamId, UpstreamLoad>;
    /** Prompt tokens that an engine of the service processes per millisecond, estimated from responses. */
    readonly tokensPerMs: (service: ServiceName) => number;
    readonly hostCount: () => number;
}
