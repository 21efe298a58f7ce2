import type { LogLine } from "./logLine";

/** Converts a log line to table cells: time, host, event, fields. */
export const toLogRow = ({ atMs, host, event, fields }: LogLine): readonly string[] => [
    new Date(atMs).toISOString(),
    host,
    event,
    Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" "),
];
