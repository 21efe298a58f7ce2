import type { HostId } from "@ibislanding/core";
import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { sampleOf } from "./sampleOf";

/** Chooses members that can confirm a failure, first those in other availability zones than the target. */
export const selectHelpers = (
    state: MembershipState,
    targetHostId: HostId,
    context: TransitionContext,
): readonly MemberRecord[] => {
    const { helpers } = context.policy.timing;
    const zone = state.members.get(targetHostId)?.availabilityZone;
    const candidates = [...state.members.values()].filter(member =>
        member !== state.self && member.hostId !== targetHostId && member.state === "alive"
    );
    const elsewhere = candidates.filter(member => member.availabilityZone !== zone);
    const alongside = candidates.filter(member => member.availabilityZone === zone);
    const chosen = sampleOf(elsewhere, helpers, context.random);
    return [...chosen, ...sampleOf(alongside, helpers - chosen.length, context.random)];
};
