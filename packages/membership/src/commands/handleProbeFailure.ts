import type { MembershipState } from "../state/membershipState";
import type { Probe } from "../state/probe";
import type { TransitionContext } from "../state/transitionContext";
import { setMemberState } from "./setMemberState";

/**
 * Suspects a target that responded neither to this process nor to a helper, if the evidence justifies it. A leaving
 * member does not need to refute; it is declared dead after the suspicion timeout without a response.
 */
export const handleProbeFailure = (state: MembershipState, probe: Probe, context: TransitionContext): void => {
    const { nowMs, policy } = context;
    const target = state.members.get(probe.targetHostId);
    const evidence = {
        helpersAsked: probe.helpersAsked,
        confirmations: probe.confirmations,
        sinceResponseMs: nowMs - state.lastResponseAtMs,
    };
    if (target === undefined || !policy.justifiesSuspicion(evidence, policy.timing)) {
        return;
    }
    target.unansweredSinceMs ??= nowMs;
    if (target.state === "alive") {
        setMemberState(state, target, "suspect", nowMs, context);
    }
    else if (target.state === "leaving" && nowMs - target.unansweredSinceMs >= policy.timing.suspicionTimeoutMs) {
        setMemberState(state, target, "dead", nowMs, context);
    }
};
