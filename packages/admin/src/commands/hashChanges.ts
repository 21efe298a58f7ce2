import type { RequestedChange } from "@ibislanding/configuration";
import { createHash } from "node:crypto";

const sortFields = (_field: string, value: unknown): unknown =>
    typeof value === "object" && value !== null && !Array.isArray(value)
        ? Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
        : value;

/** Returns the SHA-256 hash of an operation's content, in hexadecimal and independent of the order of fields. */
export const hashChanges = (changes: readonly RequestedChange[]): string =>
    createHash("sha256").update(JSON.stringify(changes, sortFields)).digest("hex");
