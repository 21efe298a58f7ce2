import type { RandomSource } from "@ibislanding/core";

/** Returns up to `count` different elements at random. */
export const sampleOf = <T>(elements: readonly T[], count: number, random: RandomSource): readonly T[] => {
    const left = [...elements];
    return Array.from(
        { length: Math.min(count, left.length) },
        () => left.splice(random.nextInt(left.length), 1)[0] as T,
    );
};
