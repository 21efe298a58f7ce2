import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { isReachable } from "./isReachable";
import { sampleOf } from "./sampleOf";

const RING_SIZE = 2 ** 32;

const distance = (state: MembershipState, member: MemberRecord, ring: number): number => {
    const [from, to] = [state.self.ringPositions[ring] ?? 0, member.ringPositions[ring] ?? 0];
    return (to - from + RING_SIZE) % RING_SIZE;
};

const successor = (
    state: MembershipState,
    candidates: readonly MemberRecord[],
    ring: number,
): MemberRecord | undefined =>
    candidates.reduce<MemberRecord | undefined>(
        (nearest, member) =>
            nearest === undefined || distance(state, member, ring) < distance(state, nearest, ring) ? member : nearest,
        undefined,
    );

/** Selects the successor on each ring, so that all members are probed by equally many, and some at random. */
export const selectProbeTargets = (state: MembershipState, context: TransitionContext): readonly MemberRecord[] => {
    const { ringTargetCount, randomTargetCount } = context.policy.timing;
    const candidates = [...state.members.values()].filter(member => isReachable(state, member));
    const successors = Array.from({ length: ringTargetCount }).reduce<readonly MemberRecord[]>((chosen, _, ring) => {
        const next = successor(state, candidates.filter(member => !chosen.includes(member)), ring);
        return next === undefined ? chosen : [...chosen, next];
    }, []);
    const others = candidates.filter(member => !successors.includes(member));
    return [...successors, ...sampleOf(others, randomTargetCount, context.random)];
};
