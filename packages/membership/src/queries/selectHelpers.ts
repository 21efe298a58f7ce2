import type { HostId } from "@ibislanding/core";
import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { sampleOf } from "./sampleOf";

/** Selects members that can confirm a failure, preferably in other availability zones than the target. */
export const selectHelpers = (
    state: MembershipState,
    targetHostId: HostId,
    context: TransitionContext,
): readonly MemberRecord[] => {
    const { helperCount } = context.policy.timing;
    const targetZone = state.members.get(targetHostId)?.availabilityZone;
    const candidates = [...state.members.values()].filter(member =>
        member !== state.self && member.hostId !== targetHostId && member.state === "alive"
    );
    const inOtherZones = candidates.filter(member => member.availabilityZone !== targetZone);
    const inSameZone = candidates.filter(member => member.availabilityZone === targetZone);
    const chosen = sampleOf(inOtherZones, helperCount, context.random);
    return [...chosen, ...sampleOf(inSameZone, helperCount - chosen.length, context.random)];
};
