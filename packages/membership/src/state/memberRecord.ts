import type { Revision } from "@ibislanding/core";
import type { MemberIdentity } from "../model/memberIdentity";
import type { MemberState } from "../model/memberState";

/** Mutable entry of the member table. */
export interface MemberRecord extends MemberIdentity {
    incarnation: number;
    state: MemberState;
    configurationRevision: Revision;
    reportVersion: number;
    /** Monotonic time of the last change of the state; of the first suspicion while suspected. */
    stateSinceMs: number;
    /** Position on each ring. */
    /** Monotonic time of the first of the latest probes in a row that nobody got answered. */
    unansweredSinceMs?: number;
    readonly ringPositions: readonly number[];
}
