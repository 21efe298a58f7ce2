/** Throughput, latency and CPU use of one target at one number of streams. */
export interface ThroughputResult {
    readonly name: string;
    readonly streams: number;
    readonly requests: number;
    readonly failures: number;
    readonly eventsPerSecond: number;
    readonly eventsPerCpuSecond: number;
    /** CPU time per elapsed time; 1 is one core. */
    readonly cpuShare: number;
    readonly firstTokenP50Ms: number;
    readonly firstTokenP99Ms: number;
}
