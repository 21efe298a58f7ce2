import { isReachable } from "../queries/isReachable";
import { sampleOf } from "../queries/sampleOf";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { sendSync } from "./sendSync";

/**
 * Syncs, when the rejoin interval has elapsed, with a random address among the seeds and dead members that is not the
 * address of a reachable member; this also heals network partitions.
 */
export const rejoin = (state: MembershipState, context: TransitionContext): void => {
    const { nowMs, policy: { timing } } = context;
    if (nowMs < state.nextRejoinAtMs) {
        return;
    }
    const members = [...state.members.values()];
    const reachableAddresses = members.filter(member => isReachable(state, member)).map(member => member.address);
    const deadAddresses = members.filter(member => member.state === "dead").map(member => member.address);
    const candidateAddresses = [...new Set([...state.seeds, ...deadAddresses])]
        .filter(address => address !== state.self.address && !reachableAddresses.includes(address));
    state.nextRejoinAtMs = nowMs + (reachableAddresses.length === 0 ? timing.probeIntervalMs : timing.rejoinIntervalMs);
    sampleOf(candidateAddresses, 1, context.random).forEach(address => sendSync(state, address, context));
};
