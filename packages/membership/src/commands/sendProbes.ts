import { buildGossip } from "../queries/buildGossip";
import { scaledTimeoutMs } from "../queries/scaledTimeoutMs";
import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";

const sendProbe = (state: MembershipState, target: MemberRecord, context: TransitionContext): void => {
    const probeId = state.nextProbeId++;
    state.probes.set(probeId, { targetHostId: target.hostId, helpersAsked: 0, helpersPending: 0, confirmations: 0 });
    context.emit({
        type: "sendProbe",
        completionEvent: "probeEnded",
        id: probeId,
        address: target.address,
        request: {
            fromHostId: state.self.hostId,
            targetHostId: target.hostId,
            gossip: buildGossip(state, target.hostId, context),
            indirectAddress: "",
        },
        timeoutMs: scaledTimeoutMs(state, context.policy.timing.directProbeTimeoutMs),
    });
};

/** Sends a direct probe to each target. */
export const sendProbes = (
    state: MembershipState,
    targets: readonly MemberRecord[],
    context: TransitionContext,
): void => targets.forEach(target => sendProbe(state, target, context));
