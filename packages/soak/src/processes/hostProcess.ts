/** A host that runs as a process of its own and may be started again. */
export interface HostProcess {
    readonly hostName: string;
    /** Number of starts so far. */
    readonly starts: () => number;
    readonly isRunning: () => boolean;
    readonly start: () => void;
    /** Sends a signal to the running process, if any. */
    readonly signal: (signal: NodeJS.Signals) => void;
    /** Resolves when the process that runs now has ended, with its exit code; undefined after a signal. */
    readonly ended: () => Promise<number | undefined>;
}
