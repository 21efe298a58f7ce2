/** Limits on the requests and connections of clients. */
export interface ClientLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    /** Time for which a client's connection may stay idle. */
    readonly idleTimeoutMs: number;
}
