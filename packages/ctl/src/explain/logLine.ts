/** One line of a host's log. */
export interface LogLine {
    readonly atMs: number;
    readonly host: string;
    readonly event: string;
    /** All other fields, as they were written. */
    readonly fields: Readonly<Record<string, unknown>>;
}
