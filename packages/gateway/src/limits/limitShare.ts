/** Part of an upstream's limit that one host may use. */
export interface LimitShare {
    /** Minimum time between two requests of the host. */
    readonly intervalMs: number;
}
