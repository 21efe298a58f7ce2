import type { HostId } from "@ibislanding/core";
import type { Gossip } from "@ibislanding/protocol";
import { tableDigest } from "../queries/tableDigest";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { sendSync } from "./sendSync";

/** Starts a sync with a process whose member table still differs after recent updates had time to spread. */
export const syncIfDifferent = (
    state: MembershipState,
    peer: HostId,
    gossip: Gossip | undefined,
    context: TransitionContext,
): void => {
    const { nowMs, policy } = context;
    const address = state.members.get(peer)?.address;
    const isSettled = nowMs - state.changedAtMs >= policy.timing.settleDelayMs && nowMs >= state.nextSyncAtMs;
    if (address !== undefined && isSettled && gossip !== undefined && gossip.digest !== tableDigest(state)) {
        sendSync(state, address, context);
    }
};
