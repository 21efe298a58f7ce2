import type { MembershipState } from "../state/membershipState";

/** Extends a timeout in proportion to the estimated slowness of this process. */
export const scaledTimeoutMs = (state: MembershipState, timeoutMs: number): number =>
    timeoutMs * (1 + state.slowness / 2);
