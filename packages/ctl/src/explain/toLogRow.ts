import type { LogLine } from "./logLine";

/** Returns the cells of a line in a table: time, host, event, fields. */
export const toLogRow = ({ atMs, host, event, fields }: LogLine): readonly string[] => [
    new Date(atMs).toISOString(),
    host,
    event,
    Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" "),
];
