import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { Probe } from "../state/probe";
import type { TransitionContext } from "../state/transitionContext";
import { concludeProbe } from "./concludeProbe";
import { setSlowness } from "./setSlowness";
import { takeAnswer } from "./takeAnswer";

const countAnswer = (
    state: MembershipState,
    probeId: number,
    probe: Probe,
    hasAnswered: boolean,
    context: TransitionContext,
): void => {
    probe.helpersPending--;
    probe.witnesses += hasAnswered ? 1 : 0;
    if (probe.helpersPending === 0) {
        state.probes.delete(probeId);
        concludeProbe(state, probe, context);
    }
};

/** Takes the answer of a helper; a target that only the helper reaches speaks for slowness of this process. */
export const handleHelperEnded = (
    state: MembershipState,
    { probeId, response }: MembershipEvent & { type: "helperEnded"; },
    context: TransitionContext,
): void => {
    const probe = state.probes.get(probeId);
    const outcome = response === undefined ? "unreached" : takeAnswer(state, probe, response, context);
    if (probe === undefined) {
        return;
    }
    if (outcome === "unreached") {
        countAnswer(state, probeId, probe, response !== undefined, context);
        return;
    }
    state.probes.delete(probeId);
    if (outcome === "reached") {
        setSlowness(state, 2);
    }
};
