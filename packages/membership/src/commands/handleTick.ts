import { selectProbeTargets } from "../queries/selectProbeTargets";
import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { expireEntries } from "./expireEntries";
import { rejoin } from "./rejoin";
import { sendProbes } from "./sendProbes";

/** Performs all periodic work that is due: expiry, rejoin attempts and probe rounds. */
export const handleTick = (
    state: MembershipState,
    _: MembershipEvent & { type: "tick"; },
    context: TransitionContext,
): void => {
    const { nowMs, policy: { timing } } = context;
    state.lastTickAtMs = nowMs;
    expireEntries(state, context);
    rejoin(state, context);
    if (nowMs >= state.nextProbeRoundAtMs) {
        state.nextProbeRoundAtMs = nowMs + timing.probeIntervalMs - timing.tickIntervalMs / 2;
        sendProbes(state, selectProbeTargets(state, context), context);
    }
};
