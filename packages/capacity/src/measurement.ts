/** What one system size cost. */
export interface Measurement {
    readonly entryHosts: number;
    readonly members: number;
    /** Mean over the entry hosts, in percent of one core. */
    readonly cpuPercent: number;
    readonly residentMegabytes: number;
    /** Sent and received by one host. */
    readonly gossipBytesPerSecond: number;
    readonly gossipMessagesPerSecond: number;
    /** Calls of the whole system in a second, by cause. */
    readonly keyValueCallsPerSecond: Readonly<Record<string, number>>;
    /** Time from acceptance until the last entry host had the revision, for each change. */
    readonly inForceMs: readonly number[];
}
