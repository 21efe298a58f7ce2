import type { HostId, Revision } from "@ibislanding/core";
import type { MemberState } from "../model/memberState";

/** Status of a member, as received from another process. */
export interface ReceivedStatus {
    readonly hostId: HostId;
    readonly incarnation: number;
    readonly state: MemberState;
    readonly configurationRevision: Revision;
    readonly reportVersion: number;
    readonly suspicionAgeMs: number;
}
