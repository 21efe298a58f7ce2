import type { PeerAddress } from "@ibislanding/protocol";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { toWireMember } from "../wire/toWireMember";
import { toWireNotice } from "../wire/toWireNotice";

const SYNC_TIMEOUT_MS = 2_000;

/** Starts a sync with another process, which exchanges the full tables. */
export const sendSync = (state: MembershipState, address: PeerAddress, context: TransitionContext): void => {
    const { syncIntervalMs } = context.policy.timing;
    state.nextSyncAtMs = context.nowMs + syncIntervalMs * (0.5 + context.random.nextFloat());
    context.emit({
        type: "sendSync",
        address,
        request: {
            fromHostId: state.self.hostId,
            members: [...state.members.values()].map(member => toWireMember(member, context.nowMs)),
            notices: [...state.notices.values()].map(toWireNotice),
        },
        timeoutMs: SYNC_TIMEOUT_MS,
    });
};
