import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";

/** Tells whether a member is another process that may answer. */
export const isReachable = (state: MembershipState, member: MemberRecord): boolean =>
    member !== state.self && member.state !== "dead";
