/** Costs measured for one system size. */
export interface Measurement {
    readonly entryHosts: number;
    /** Number of gossip members: the entry hosts, the control hosts and the admin process. */
    readonly members: number;
    /** Mean over the entry hosts, in percent of one core. */
    readonly cpuPercent: number;
    /** Mean over the entry hosts. */
    readonly residentMegabytes: number;
    /** Bytes sent and received by one host, mean over the entry hosts. */
    readonly gossipBytesPerSecond: number;
    /** Messages sent and received by one host, mean over the entry hosts. */
    readonly gossipMessagesPerSecond: number;
    /** Calls of the whole system per second, by cause. */
    readonly keyValueCallsPerSecond: Readonly<Record<string, number>>;
    /** Time from the acceptance of a change until the last entry host had its revision, for each change. */
    readonly inForceMs: readonly number[];
}
