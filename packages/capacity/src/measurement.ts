/** Costs measured for one system size. */
export interface Measurement {
    readonly entryHosts: number;
    readonly members: number;
    /** Mean over the entry hosts, in percent of one core. */
    readonly cpuPercent: number;
    readonly residentMegabytes: number;
    /** Bytes sent and received by one host. */
    readonly gossipBytesPerSecond: number;
    readonly gossipMessagesPerSecond: number;
    /** Calls of the whole system per second, by cause. */
    readonly keyValueCallsPerSecond: Readonly<Record<string, number>>;
    /** Time from the acceptance of a change until the last entry host had its revision, for each change. */
    readonly inForceMs: readonly number[];
}
