/** Usage of an account as reported by one host. */
export interface AccountUsage {
    /** Units admitted within the rate and the burst since the process started. */
    readonly entitled: number;
    /** Units admitted beyond the rate and the burst since the process started. */
    readonly spare: number;
    /** Units of requests that were refused since the process started; undefined counts as 0. */
    readonly refused?: number;
    /**
     * Units currently available to all hosts together; undefined while the host does not know the usage before its
     * start.
     */
    readonly level: number | undefined;
}
