/** Source of random numbers; seeded in tests and experiments. */
export interface RandomSource {
    /** Returns a number in [0, 1). */
    readonly nextFloat: () => number;
    /** Returns an integer in [0, bound). */
    readonly nextInt: (bound: number) => number;
    /** Returns a random lower-case hexadecimal text of the given length. */
    readonly nextHex: (length: number) => string;
}
