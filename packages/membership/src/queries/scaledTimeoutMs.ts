import type { MembershipState } from "../state/membershipState";

/** Lengthens a timeout while this process is slow itself. */
export const scaledTimeoutMs = (state: MembershipState, timeoutMs: number): number =>
    timeoutMs * (1 + state.slowness / 2);
