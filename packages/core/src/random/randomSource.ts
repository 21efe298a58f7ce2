/** Source of random numbers; tests and experiments use a seeded one for reproducible runs. */
export interface RandomSource {
    /** Returns a floating-point number in [0, 1). */
    readonly nextFloat: () => number;
    /** Returns an integer in [0, bound). */
    readonly nextInt: (bound: number) => number;
    /** Returns a lower-case hexadecimal string of the given length. */
    readonly nextHex: (length: number) => string;
}
