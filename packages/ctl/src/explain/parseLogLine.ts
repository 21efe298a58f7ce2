import type { LogLine } from "./logLine";

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

/** Parses a line; collectors may put a prefix before it. Returns undefined for what is no line of a host's log. */
export const parseLogLine = (text: string): LogLine | undefined => {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const parsed: unknown = JSON.parse(text.slice(start));
        if (!isRecord(parsed)) {
            return undefined;
        }
        const { timestamp, host, message, level: _, ...fields } = parsed;
        const atMs = Date.parse(String(timestamp));
        return typeof message === "string" && typeof host === "string" && !Number.isNaN(atMs)
            ? { atMs, host, event: message, fields }
            : undefined;
    }
    catch {
        return undefined;
    }
};
