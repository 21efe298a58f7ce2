import type { HostId } from "@ibislanding/core";
import type { PeerAddress } from "@ibislanding/protocol";
import { buildGossip } from "../queries/buildGossip";
import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { mergeGossip } from "./mergeGossip";

/** Responds to a direct probe, or probes the target of an indirect one. */
export const handleProbeReceived = (
    state: MembershipState,
    { callId, request }: MembershipEvent & { type: "probeReceived"; },
    context: TransitionContext,
): void => {
    const { hostId } = state.self;
    mergeGossip(state, request.gossip, context);
    if (request.indirectAddress === "") {
        const gossip = buildGossip(state, request.fromHostId as HostId, context);
        context.emit({ type: "answerProbe", callId, response: { hostId, gossip } });
        return;
    }
    context.emit({
        type: "sendProbe",
        completionEvent: "relayEnded",
        id: callId,
        address: request.indirectAddress as PeerAddress,
        request: {
            fromHostId: hostId,
            targetHostId: request.targetHostId,
            gossip: buildGossip(state, request.targetHostId as HostId, context),
            indirectAddress: "",
        },
        timeoutMs: context.policy.timing.directProbeTimeoutMs,
    });
};
