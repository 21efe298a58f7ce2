import type { HostId } from "@ibislanding/core";
import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { handleProbeFailure } from "./handleProbeFailure";
import { processProbeResponse } from "./processProbeResponse";
import { sendIndirectProbes } from "./sendIndirectProbes";
import { syncIfDifferent } from "./syncIfDifferent";

/** Handles the response to a direct probe, or sends indirect probes if there was none. */
export const handleProbeEnded = (
    state: MembershipState,
    { probeId, response }: MembershipEvent & { type: "probeEnded"; },
    context: TransitionContext,
): void => {
    const probe = state.probes.get(probeId);
    if (response !== undefined) {
        state.probes.delete(probeId);
        processProbeResponse(state, probe, response, context);
        syncIfDifferent(state, response.hostId as HostId, response.gossip, context);
    }
    else if (probe !== undefined) {
        probe.helpersAsked = sendIndirectProbes(state, probeId, probe, context);
        probe.helpersPending = probe.helpersAsked;
        if (probe.helpersAsked === 0) {
            state.probes.delete(probeId);
            handleProbeFailure(state, probe, context);
        }
    }
};
