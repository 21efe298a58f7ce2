import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "./randomSource";

const UINT32_RANGE = 2 ** 32;

/** Creates a deterministic pseudorandom source from a 32-bit seed. */
export const createRandom = (seed: number): RandomSource => {
    const generator = xoroshiro128plus(seed);
    const nextFloat = (): number => (generator.next() >>> 0) / UINT32_RANGE;
    const nextInt = (bound: number): number => Math.floor(nextFloat() * bound);
    return {
        nextFloat,
        nextInt,
        nextHex: length => Array.from({ length }, () => nextInt(16).toString(16)).join(""),
    };
};
