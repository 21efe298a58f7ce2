/** One run of a host's process, from its start to its end. */
export interface HostRun {
    readonly hostName: string;
    readonly startedAtMs: number;
    /** Largest resident memory that was seen; 0 where it can't be read. */
    peakMemoryBytes: number;
    readonly maximumMemoryBytes: number;
    /** Undefined until the process has ended. */
    end: {
        readonly atMs: number;
        readonly code: number | undefined;
        readonly signal: NodeJS.Signals | undefined;
        /** Whether the process had been told to end. */
        readonly isOrdered: boolean;
        readonly lastLines: readonly string[];
    } | undefined;
}
