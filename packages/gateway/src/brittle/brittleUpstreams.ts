import type { ServiceName } from "@ibislanding/core";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { BrittleRow } from "./brittleRow";

/** A start of an upstream. */
type Start = Pick<UpstreamRecord, "upstreamId" | "startedAtMs">;

/** Upstreams that crash if they have to reject more than some requests a second, and what this host may send to them. */
export interface BrittleUpstreams {
    /**
     * Records what an answer states at a shared time: rejections a second above which the upstream crashes, or undefined for
     * none. Returns whether the statement has changed.
     */
    readonly observe: (start: Start, rejectionsPerS: number | undefined, atMs: number) => boolean;
    /** Applies what a peer knows of an upstream; returns whether the statement has changed. */
    readonly observeRow: (row: BrittleRow) => boolean;
    /** Records a rejection for want of room at a shared time, which an answer or a peer's report states. */
    readonly observeRejection: (start: Start, atMs: number) => void;
    /** Whether an upstream of the service is restricted. */
    readonly isRestricted: (service: ServiceName) => boolean;
    /** Whether this start of an upstream is restricted. */
    readonly isBrittle: (upstream: UpstreamRecord) => boolean;
    /** Time until this host may send to the upstream; 0 if it may send now. */
    readonly waitMs: (upstream: UpstreamRecord, load: {
        /** Requests in flight from this host. */
        readonly own: number;
        /** Requests in flight from all hosts, as far as this host knows. */
        readonly all: number;
        readonly roundTripMs: number;
    }) => number;
    /** Number of slots of the service that belong to this host. */
    readonly ownSlots: (service: ServiceName) => number;
    /**
     * Addresses of the hosts to which this host forwards requests of a restricted service: those that have slots, if this host
     * has none. Empty in small groups, and while no upstream of the service is restricted.
     */
    readonly slotOwners: (service: ServiceName) => readonly string[];
    /** Counts a request that this host sends to the upstream. */
    readonly trackSend: (upstream: UpstreamRecord) => {
        /** To be called when the upstream has accepted the request. */
        readonly confirm: () => void;
        /** To be called at the end; `isBrokenOff` if the upstream may not know yet that the request has ended. */
        readonly end: (isBrokenOff: boolean) => void;
    };
    /** What this host knows, for the other hosts; empty if no upstream has stated a number. */
    readonly rows: () => readonly BrittleRow[];
    /** Forgets the upstreams for which the function returns false. */
    readonly retain: (isKnown: (start: Start) => boolean) => void;
}
