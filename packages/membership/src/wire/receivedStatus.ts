import type { HostId, Revision } from "@ibislanding/core";
import type { MemberState } from "../model/memberState";

/** What another process says about a member. */
export interface ReceivedStatus {
    readonly hostId: HostId;
    readonly incarnation: number;
    readonly state: MemberState;
    readonly configurationRevision: Revision;
    readonly reportVersion: number;
    readonly suspicionAgeMs: number;
}
