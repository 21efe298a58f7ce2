import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { Probe } from "../state/probe";
import type { TransitionContext } from "../state/transitionContext";
import { adjustSlowness } from "./adjustSlowness";
import { handleProbeFailure } from "./handleProbeFailure";
import { processProbeResponse } from "./processProbeResponse";

const recordUnreached = (
    state: MembershipState,
    probeId: number,
    probe: Probe,
    isConfirmed: boolean,
    context: TransitionContext,
): void => {
    probe.helpersPending--;
    probe.confirmations += isConfirmed ? 1 : 0;
    if (probe.helpersPending === 0) {
        state.probes.delete(probeId);
        handleProbeFailure(state, probe, context);
    }
};

/** Handles the response of a helper; if only the helper reached the target, this process is probably slow itself. */
export const handleHelperEnded = (
    state: MembershipState,
    { probeId, response }: MembershipEvent & { type: "helperEnded"; },
    context: TransitionContext,
): void => {
    const probe = state.probes.get(probeId);
    const outcome = response === undefined ? "unreached" : processProbeResponse(state, probe, response, context);
    if (probe === undefined) {
        return;
    }
    if (outcome === "unreached") {
        recordUnreached(state, probeId, probe, response !== undefined, context);
        return;
    }
    state.probes.delete(probeId);
    if (outcome === "reached") {
        adjustSlowness(state, 2);
    }
};
