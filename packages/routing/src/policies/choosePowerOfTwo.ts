import type { RandomSource } from "@ibislanding/core";

/**
 * Power of two choices: picks two distinct members at random and returns the one with the lower load, so that hosts
 * that choose at the same time do not all pick the same member.
 */
export const choosePowerOfTwo = <T>(members: readonly T[], loadOf: (member: T) => number, random: RandomSource): T => {
    const first = random.nextInt(members.length);
    const second = (first + 1 + random.nextInt(Math.max(1, members.length - 1))) % members.length;
    const [left, right] = [members[first] as T, members[second] as T];
    return loadOf(left) <= loadOf(right) ? left : right;
};
