import type { HostId } from "@ibislanding/core";
import { buildGossip } from "../queries/buildGossip";
import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { mergeGossip } from "./mergeGossip";

/** Reports to the requesting member which process, if any, responded at the target address of an indirect probe. */
export const handleRelayEnded = (
    state: MembershipState,
    { callId, response }: MembershipEvent & { type: "relayEnded"; },
    context: TransitionContext,
): void => {
    mergeGossip(state, response?.gossip, context);
    const gossip = buildGossip(state, "" as HostId, context);
    context.emit({ type: "answerProbe", callId, response: { hostId: response?.hostId ?? "", gossip } });
};
