import { parseJson } from "@ibislanding/core";
import type { LogLine } from "./logLine";

/** Parses a line, skipping a prefix added by a log collector. Returns undefined for text that is not a host's log line. */
export const parseLogLine = (text: string): LogLine | undefined => {
    const start = text.indexOf("{");
    const parsed = start < 0
        ? undefined
        : parseJson(text.slice(start)) as Readonly<Record<string, unknown>> | undefined;
    if (parsed === undefined) {
        return undefined;
    }
    const { timestamp, host, message, level: _, ...fields } = parsed;
    const atMs = Date.parse(String(timestamp));
    return typeof message === "string" && typeof host === "string" && !Number.isNaN(atMs)
        ? { atMs, host, event: message, fields }
        : undefined;
};
