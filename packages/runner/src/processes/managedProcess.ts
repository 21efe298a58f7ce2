/** A process that the runner started. */
export interface ManagedProcess {
    readonly name: string;
    readonly program: string;
    readonly pid: number;
    readonly region: string;
    readonly availabilityZone: string;
    readonly urls: Readonly<Record<string, string>>;
    readonly signal: (signal: NodeJS.Signals) => void;
    /** Resolves with the exit code, or undefined after a signal. */
    readonly exited: Promise<number | undefined>;
    readonly hasExited: () => boolean;
}
