/** Cumulative counters and memory of one entry host, read at one time. */
export interface Sample {
    readonly atMs: number;
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    readonly gossipBytes: number;
    readonly gossipMessages: number;
}
