import type { Revision } from "@ibislanding/core";
import type { MemberIdentity } from "./memberIdentity";
import type { MemberState } from "./memberState";

/** Process of the system, as known to this process. */
export interface Member extends MemberIdentity {
    /** Increased by the member itself to refute a suspicion. */
    readonly incarnation: number;
    readonly state: MemberState;
    /** Configuration revision that the member reported as in force. */
    readonly configurationRevision: Revision;
    /** Incremented with every change to the fields that the member reports about itself. */
    readonly reportVersion: number;
}
