/** A host that runs in a child process and can be restarted. */
export interface HostProcess {
    readonly hostName: string;
    /** Number of starts so far. */
    readonly starts: () => number;
    readonly isRunning: () => boolean;
    readonly start: () => void;
    /** Sends a signal to the running process, if any. */
    readonly signal: (signal: NodeJS.Signals) => void;
    /** Resolves with the exit code when the current process ends, or with undefined after a signal. */
    readonly ended: () => Promise<number | undefined>;
}
