import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";

/** Returns whether a member is another process that is not known to be dead. */
export const isReachable = (state: MembershipState, member: MemberRecord): boolean =>
    member !== state.self && member.state !== "dead";
