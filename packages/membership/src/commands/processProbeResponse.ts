import type { HostId } from "@ibislanding/core";
import type { ProbeResponse } from "@ibislanding/protocol";
import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";
import type { Probe } from "../state/probe";
import type { TransitionContext } from "../state/transitionContext";
import { adjustSlowness } from "./adjustSlowness";
import { mergeGossip } from "./mergeGossip";
import { setMemberState } from "./setMemberState";

const resetUnanswered = (target: MemberRecord | undefined): void => {
    if (target !== undefined) {
        target.unansweredSinceMs = undefined;
    }
};

/**
 * Merges the updates of a probe response and returns what it proves about the target: "reached" if the target
 * responded, "replaced" if another process responded at its address, and "unreached" if a helper got no response or the
 * probe has already ended. A replaced target is declared dead, unless the process that responded is this one.
 */
export const processProbeResponse = (
    state: MembershipState,
    probe: Probe | undefined,
    response: ProbeResponse,
    context: TransitionContext,
): "reached" | "replaced" | "unreached" => {
    state.lastResponseAtMs = context.nowMs;
    mergeGossip(state, response.gossip, context);
    if (response.hostId === "" || probe === undefined) {
        return "unreached";
    }
    const target = state.members.get(probe.targetHostId);
    if (response.hostId === probe.targetHostId) {
        adjustSlowness(state, -1);
        resetUnanswered(target);
        return "reached";
    }
    if (target !== undefined && target.state !== "dead" && response.hostId as HostId !== state.self.hostId) {
        setMemberState(state, target, "dead", context.nowMs, context);
    }
    return "replaced";
};
