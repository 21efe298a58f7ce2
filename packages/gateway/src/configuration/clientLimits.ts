/** Bounds on what callers send. */
export interface ClientLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    /** Time for which a caller's connection may stay idle. */
    readonly idleTimeoutMs: number;
}
