/** A child process of the runner with its location and the URLs on which it listens. */
export interface ManagedProcess {
    readonly name: string;
    readonly program: string;
    readonly pid: number;
    readonly region: string;
    readonly availabilityZone: string;
    readonly urls: Readonly<Record<string, string>>;
    readonly signal: (signal: NodeJS.Signals) => void;
    /** Resolves with the exit code, or with undefined when a signal ended the process. */
    readonly exited: Promise<number | undefined>;
    readonly hasExited: () => boolean;
}
