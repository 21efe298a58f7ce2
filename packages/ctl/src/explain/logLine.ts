/** One line of a host's log. */
export interface LogLine {
    readonly atMs: number;
    readonly host: string;
    readonly event: string;
    /** Fields other than timestamp, host, message and level, unchanged. */
    readonly fields: Readonly<Record<string, unknown>>;
}
