import type { MembershipState } from "../state/membershipState";
import type { Probe } from "../state/probe";
import type { TransitionContext } from "../state/transitionContext";
import { setMemberState } from "./setMemberState";

/**
 * Suspects the target of a probe that nobody could get answered, if that is justified. A leaving member needs not
 * refute; it is dead when it stays unanswered for as long.
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
