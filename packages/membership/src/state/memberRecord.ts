import type { Revision } from "@ibislanding/core";
import type { MemberIdentity } from "../model/memberIdentity";
import type { MemberState } from "../model/memberState";

/** Mutable entry of the member table. */
export interface MemberRecord extends MemberIdentity {
    incarnation: number;
    state: MemberState;
    configurationRevision: Revision;
    reportVersion: number;
    /** Monotonic time of the last state change; while the member is suspect, of the earliest known suspicion. */
    stateSinceMs: number;
    /** Monotonic time of the first failed probe, direct and indirect, after the last response; undefined if none. */
    unansweredSinceMs?: number;
    /** Position on each ring. */
    readonly ringPositions: readonly number[];
}
