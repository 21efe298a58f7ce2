import type { RandomSource } from "@ibislanding/core";

/** Returns up to `count` elements, selected at random without repetition. */
export const sampleOf = <T>(elements: readonly T[], count: number, random: RandomSource): readonly T[] => {
    const remaining = [...elements];
    return Array.from(
        { length: Math.min(count, remaining.length) },
        () => remaining.splice(random.nextInt(remaining.length), 1)[0] as T,
    );
};
