/** Evidence against a version: the kind of bad answer and the route on which it is strongest. */
export interface Suspicion {
    readonly reason: "failures" | "slow";
    /** Undefined for all routes together. */
    readonly route: string | undefined;
    /**
     * Largest logarithmic likelihood ratio over all periods that end now; positive if it is more likely that the version
     * fails half of its requests than that it is like the other versions.
     */
    readonly recent: number;
    /** The same without the worst second or so of each period. */
    readonly lasting: number;
    /** The ratio over the whole series. */
    readonly whole: number;
}
