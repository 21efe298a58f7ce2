/** Kind of bad answers of a version, and the route on which they are most conspicuous. */
export interface VerdictCause {
    readonly reason: "failures" | "slow";
    /** Undefined for all routes together. */
    readonly route: string | undefined;
}
