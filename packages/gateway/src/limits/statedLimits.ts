import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** A start of an upstream. */
type Start = Pick<UpstreamRecord, "upstreamId" | "startedAtMs">;

/** Limits that upstreams state in their responses, for all hosts together. */
export interface StatedLimits {
    /**
     * Records what a response states: a limit in requests a second, undefined for none, or NaN for an unreadable one,
     * which is ignored. Returns whether the limit has changed.
     */
    readonly observe: (start: Start, limitPerS: number | undefined, atMs: number) => boolean;
    /** Time until this host may send to the upstream; 0 if it may send now. */
    readonly waitMs: (start: Start) => number;
    readonly recordSend: (start: Start) => void;
    /** What this host knows, for the other hosts: the newest statement of each upstream; -1 for none any more. */
    readonly rows: () => readonly (readonly [
        upstreamId: string,
        startedAtMs: number,
        statedAtMs: number,
        limitPerS: number,
    ])[];
    /** Forgets the upstreams for which the function returns false. */
    readonly retain: (isKnown: (start: Start) => boolean) => void;
}
