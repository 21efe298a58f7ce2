import { buildGossip } from "../queries/buildGossip";
import { scaledTimeoutMs } from "../queries/scaledTimeoutMs";
import { selectHelpers } from "../queries/selectHelpers";
import type { MembershipState } from "../state/membershipState";
import type { Probe } from "../state/probe";
import type { TransitionContext } from "../state/transitionContext";

/** Asks other members to probe a target that did not respond; returns the number of members asked. */
export const sendIndirectProbes = (
    state: MembershipState,
    probeId: number,
    probe: Probe,
    context: TransitionContext,
): number => {
    const target = state.members.get(probe.targetHostId);
    const helpers = target === undefined ? [] : selectHelpers(state, probe.targetHostId, context);
    helpers.forEach(helper =>
        context.emit({
            type: "sendProbe",
            completionEvent: "helperEnded",
            id: probeId,
            address: helper.address,
            request: {
                fromHostId: state.self.hostId,
                targetHostId: probe.targetHostId,
                gossip: buildGossip(state, helper.hostId, context),
                indirectAddress: target?.address ?? "",
            },
            timeoutMs: scaledTimeoutMs(state, context.policy.timing.indirectProbeTimeoutMs),
        })
    );
    return helpers.length;
};
