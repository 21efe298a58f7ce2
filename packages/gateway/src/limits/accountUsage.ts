/** What a host tells of an account. */
export interface AccountUsage {
    /** Units admitted within the rate and the burst since the start of the process. */
    readonly entitled: number;
    /** Units admitted beyond. */
    readonly spare: number;
    /** Units that all hosts may still take now; undefined while the host does not know what was taken before it started. */
    readonly level: number | undefined;
}
