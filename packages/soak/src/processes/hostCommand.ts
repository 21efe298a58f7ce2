/** Node.js arguments and environment of a host process. */
export interface HostCommand {
    readonly args: readonly string[];
    readonly env: Readonly<Record<string, string>>;
    /** File to which its log is appended. */
    readonly logFile: string;
}
