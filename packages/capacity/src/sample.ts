/** Cumulative counters and current memory of one entry host. */
export interface Sample {
    readonly atMs: number;
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    /** Bytes sent and received. */
    readonly gossipBytes: number;
    /** Messages sent and received. */
    readonly gossipMessages: number;
}
