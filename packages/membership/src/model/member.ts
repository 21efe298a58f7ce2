import type { Revision } from "@ibislanding/core";
import type { MemberIdentity } from "./memberIdentity";
import type { MemberState } from "./memberState";

/** One process of the system as this process knows it. */
export interface Member extends MemberIdentity {
    /** Raised by the member itself to refute a suspicion. */
    readonly incarnation: number;
    readonly state: MemberState;
    /** Revision that the member reported to be in force. */
    readonly configurationRevision: Revision;
    /** Increases with every change of what the member reports. */
    readonly reportVersion: number;
}
