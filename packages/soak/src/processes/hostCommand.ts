/** Node.js arguments and environment of a host process. */
export interface HostCommand {
    readonly args: readonly string[];
    readonly env: Readonly<Record<string, string>>;
    /** File to which its log is appended. */
    readonly logFile: string;
    /** Resident memory that its process may use. */
    readonly maximumMemoryBytes: number;
}
