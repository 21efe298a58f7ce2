import type { MembershipState } from "../state/membershipState";

const MAXIMUM_SLOWNESS = 4;

/** Raises or lowers the estimate of how slow this process itself is, within its limits. */
export const adjustSlowness = (state: MembershipState, change: number): void => {
    state.slowness = Math.min(MAXIMUM_SLOWNESS, Math.max(0, state.slowness + change));
};
