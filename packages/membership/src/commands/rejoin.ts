import { isReachable } from "../queries/isReachable";
import { sampleOf } from "../queries/sampleOf";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { sendSync } from "./sendSync";

/** Exchanges tables with a seed or a dead member out of contact, which also ends a split of the group. */
export const rejoin = (state: MembershipState, context: TransitionContext): void => {
    const { nowMs, policy: { timing } } = context;
    if (nowMs < state.nextRejoinAtMs) {
        return;
    }
    const members = [...state.members.values()];
    const reachable = members.filter(member => isReachable(state, member)).map(member => member.address);
    const dead = members.filter(member => member.state === "dead").map(member => member.address);
    const outOfContact = [...new Set([...state.seeds, ...dead])]
        .filter(address => address !== state.self.address && !reachable.includes(address));
    state.nextRejoinAtMs = nowMs + (reachable.length === 0 ? timing.periodMs : timing.rejoinMs);
    sampleOf(outOfContact, 1, context.random).forEach(address => sendSync(state, address, context));
};
